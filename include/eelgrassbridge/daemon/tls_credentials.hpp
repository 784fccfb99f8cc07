// The certificate and private key of the HTTP server, which can be replaced
// without a restart.
//
// Each handshake uses the pair that is current when it begins. Changing the
// certificate of an SSL_CTX in use is not thread-safe, since handshakes on
// other threads read it.
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

/// @brief A certificate with its chain and private key.
struct TlsPair {
  std::shared_ptr<X509> certificate;
  std::vector<std::shared_ptr<X509>> chain;
  std::shared_ptr<EVP_PKEY> key;
  /// Contents of both files, compared to detect a change.
  std::string certificate_text;
  std::string key_text;
};

/// @brief The current pair. Invariant: never null once loaded; if a replacement
/// is invalid, the previous pair stays in use.
struct TlsCredentials {
  mutable std::mutex mutex;
  std::shared_ptr<const TlsPair> pair;
};

/// @brief Reads a pair from its files. Fails with kSettingsInvalid if a file
/// cannot be read or is not PEM, or if the key does not belong to the
/// certificate, as between the replacements of the two files.
base::Result<std::shared_ptr<const TlsPair>> LoadTlsPair(
    const settings::TlsSettings& files);

/// @brief Reloads the files and returns whether they changed. To be called
/// every few seconds.
base::Result<bool> ReloadTls(TlsCredentials& credentials,
                             const settings::TlsSettings& files);

/// @brief Configures a server context to use the current pair for each
/// handshake. The credentials must outlive the context.
void UseTlsCredentials(SSL_CTX* context, const TlsCredentials& credentials);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_TLS_CREDENTIALS_HPP
