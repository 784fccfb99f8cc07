// The certificate and key of the HTTP server, replaced without a restart.
//
// Each handshake takes the pair that is current at its begin. Changing the
// certificate of an SSL_CTX in use is not safe, since handshakes on other
// threads read it.
#ifndef EELGRASSBRIDGE_DAEMON_TLS_CREDENTIALS_HPP
#define EELGRASSBRIDGE_DAEMON_TLS_CREDENTIALS_HPP

#include <openssl/ssl.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief A certificate with its chain and its key.
struct TlsPair {
  std::shared_ptr<X509> certificate;
  std::vector<std::shared_ptr<X509>> chain;
  std::shared_ptr<EVP_PKEY> key;
  /// Text of both files, by which a change is seen.
  std::string certificate_text;
  std::string key_text;
};

/// @brief The current pair. Invariant: never null once loaded; a faulty
/// replacement leaves the previous pair in use.
struct TlsCredentials {
  mutable std::mutex mutex;
  std::shared_ptr<const TlsPair> pair;
};

/// @brief Reads a pair; an error (kSettingsInvalid) for files that cannot be
/// read, are not PEM, or whose key does not belong to the certificate, as in
/// the middle of a replacement of both files.
base::Result<std::shared_ptr<const TlsPair>> LoadTlsPair(
    const settings::TlsSettings& files);

/// @brief Takes over the files if they changed; true if they did. To be called
/// every few seconds.
base::Result<bool> ReloadTls(TlsCredentials& credentials,
                             const settings::TlsSettings& files);

/// @brief Makes a server context take the current pair for each handshake.
/// The credentials must outlive the context.
void UseTlsCredentials(SSL_CTX* context, const TlsCredentials& credentials);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_TLS_CREDENTIALS_HPP
