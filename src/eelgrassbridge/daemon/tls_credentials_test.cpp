// Tests certificate replacement: a new pair is used from the next handshake on,
// and the old pair stays in use while only one of the files is replaced.
#include "eelgrassbridge/daemon/tls_credentials.hpp"

#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace eelgrassbridge::daemon {

namespace {

constexpr long kYear = 365L * 24 * 3600;

void WriteFile(const std::string& name, BIO* bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  std::ofstream(name) << std::string(data, static_cast<std::size_t>(size));
  BIO_free(bio);
}

/// Writes a self-signed certificate with that serial number, and its key if
/// `with_key` is set.
void WritePair(const settings::TlsSettings& files, long serial, bool with_key) {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
  X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate), kYear);
  X509_set_pubkey(certificate, key);
  X509_sign(certificate, key, EVP_sha256());
  BIO* text = BIO_new(BIO_s_mem());
  PEM_write_bio_X509(text, certificate);
  WriteFile(files.certificate_file, text);
  if (with_key) {
    text = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(text, key, nullptr, nullptr, 0, nullptr, nullptr);
    WriteFile(files.key_file, text);
  }
  X509_free(certificate);
  EVP_PKEY_free(key);
}

/// Returns the serial number of the certificate that a client receives in a
/// handshake over a memory BIO pair, or -1 without one.
long ServedSerial(SSL_CTX* server_context) {
  SSL_CTX* client_context = SSL_CTX_new(TLS_client_method());
  SSL* server = SSL_new(server_context);
  SSL* client = SSL_new(client_context);
  BIO* server_end = nullptr;
  BIO* client_end = nullptr;
  BIO_new_bio_pair(&server_end, 0, &client_end, 0);
  SSL_set_bio(server, server_end, server_end);
  SSL_set_bio(client, client_end, client_end);
  SSL_set_accept_state(server);
  SSL_set_connect_state(client);
  for (int i = 0; i < 10; ++i) {
    SSL_do_handshake(client);
    SSL_do_handshake(server);
  }
  X509* certificate = SSL_get1_peer_certificate(client);
  const long serial =
      certificate == nullptr
          ? -1
          : ASN1_INTEGER_get(X509_get0_serialNumber(certificate));
  X509_free(certificate);
  SSL_free(client);
  SSL_free(server);
  SSL_CTX_free(client_context);
  return serial;
}

}  // namespace

TEST_CASE("a replaced pair is used from the next handshake on") {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("eelgrassbridge-tls-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const settings::TlsSettings files{folder / "cert.pem", folder / "key.pem"};
  TlsCredentials credentials;
  CHECK_FALSE(ReloadTls(credentials, files).has_value());
  WritePair(files, 1, true);
  CHECK(ReloadTls(credentials, files).value());
  CHECK_FALSE(ReloadTls(credentials, files).value());
  SSL_CTX* context = SSL_CTX_new(TLS_server_method());
  UseTlsCredentials(context, credentials);
  CHECK(ServedSerial(context) == 1);
  WritePair(files, 2, false);
  CHECK_FALSE(ReloadTls(credentials, files).has_value());
  CHECK(ServedSerial(context) == 1);
  WritePair(files, 3, true);
  CHECK(ReloadTls(credentials, files).value());
  CHECK(ServedSerial(context) == 3);
  SSL_CTX_free(context);
  std::filesystem::remove_all(folder);
}

}  // namespace eelgrassbridge::daemon
