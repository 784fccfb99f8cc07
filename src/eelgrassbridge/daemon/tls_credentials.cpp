// Loads certificates and configures TLS handshakes with OpenSSL.
#include "eelgrassbridge/daemon/tls_credentials.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <spdlog/fmt/fmt.h>

#include "eelgrassbridge/base/file.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr std::size_t kMaxPemBytes = std::size_t{256} * 1024;

using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;

Bio MakeMemoryBio(const std::string& text) {
  return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())),
          BIO_free};
}

std::shared_ptr<X509> ReadCertificate(BIO* bio) {
  X509* certificate = PEM_read_bio_X509(bio, nullptr, nullptr, nullptr);
  return {certificate, X509_free};
}

base::Result<std::shared_ptr<const TlsPair>> ParsePair(
    const settings::TlsSettings& files,
    std::string certificate_text,
    std::string key_text) {
  const Bio certificates = MakeMemoryBio(certificate_text);
  const Bio keys = MakeMemoryBio(key_text);
  TlsPair pair;
  pair.certificate = ReadCertificate(certificates.get());
  while (auto next = ReadCertificate(certificates.get())) {
    pair.chain.push_back(std::move(next));
  }
  pair.key = {PEM_read_bio_PrivateKey(keys.get(), nullptr, nullptr, nullptr),
              EVP_PKEY_free};
  // Reading past the last certificate adds an error to this thread's OpenSSL
  // error queue.
  ERR_clear_error();
  if (pair.certificate == nullptr || pair.key == nullptr) {
    return base::Fail(
        base::ErrorKind::kSettingsInvalid,
        fmt::format("{}: the file must be in PEM format",
                    pair.certificate == nullptr ? files.certificate_file
                                                : files.key_file));
  }
  if (X509_check_private_key(pair.certificate.get(), pair.key.get()) != 1) {
    ERR_clear_error();
    return base::Fail(
        base::ErrorKind::kSettingsInvalid,
        fmt::format("{}: the key does not match the certificate {}",
                    files.key_file, files.certificate_file));
  }
  pair.certificate_text = std::move(certificate_text);
  pair.key_text = std::move(key_text);
  return std::make_shared<const TlsPair>(std::move(pair));
}

/// Called by OpenSSL at the start of each handshake.
int UsePair(SSL* connection, void* argument) {
  const auto& credentials = *static_cast<const TlsCredentials*>(argument);
  std::shared_ptr<const TlsPair> pair;
  {
    const std::scoped_lock lock(credentials.mutex);
    pair = credentials.pair;
  }
  if (pair == nullptr ||
      SSL_use_certificate(connection, pair->certificate.get()) != 1 ||
      SSL_use_PrivateKey(connection, pair->key.get()) != 1) {
    return 0;
  }
  SSL_clear_chain_certs(connection);
  for (const std::shared_ptr<X509>& certificate : pair->chain) {
    if (SSL_add1_chain_cert(connection, certificate.get()) != 1) {
      return 0;
    }
  }
  return 1;
}

}  // namespace

base::Result<std::shared_ptr<const TlsPair>> LoadTlsPair(
    const settings::TlsSettings& files) {
  BOOST_OUTCOME_TRY(certificate,
                    base::ReadFile(files.certificate_file, kMaxPemBytes));
  BOOST_OUTCOME_TRY(key, base::ReadFile(files.key_file, kMaxPemBytes));
  return ParsePair(files, std::move(certificate), std::move(key));
}

base::Result<bool> ReloadTls(TlsCredentials& credentials,
                             const settings::TlsSettings& files) {
  BOOST_OUTCOME_TRY(loaded, LoadTlsPair(files));
  const std::scoped_lock lock(credentials.mutex);
  if (credentials.pair != nullptr &&
      credentials.pair->certificate_text == loaded->certificate_text &&
      credentials.pair->key_text == loaded->key_text) {
    return false;
  }
  credentials.pair = std::move(loaded);
  return true;
}

void UseTlsCredentials(SSL_CTX* context, const TlsCredentials& credentials) {
  // OpenSSL takes a non-const pointer; UsePair only reads from it.
  SSL_CTX_set_cert_cb(context, UsePair,
                      const_cast<TlsCredentials*>(&credentials));
}

}  // namespace eelgrassbridge::daemon
