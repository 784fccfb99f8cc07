// Computes the HMAC of the current minute with OpenSSL.
#include "eelgrassbridge/daemon/forward_proof.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <charconv>
#include <cstdlib>

namespace eelgrassbridge::daemon {

namespace {

constexpr std::int64_t kMillisecondsPerMinute = 60'000;
constexpr std::int64_t kMaxMinutesApart = 2;

std::string ProofOf(std::string_view secret_key, std::int64_t minute) {
  const std::string text = fmt::format("eelgrassbridge forward {}", minute);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret_key.data(), static_cast<int>(secret_key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  std::string proof = fmt::format("{}-", minute);
  for (unsigned int i = 0; i < size; ++i) {
    proof += fmt::format("{:02x}", mac[i]);
  }
  return proof;
}

}  // namespace

std::string MakeForwardProof(std::string_view secret_key, std::int64_t now_ms) {
  return ProofOf(secret_key, now_ms / kMillisecondsPerMinute);
}

bool IsValidForwardProof(std::string_view secret_key,
                         std::string_view proof,
                         std::int64_t now_ms) {
  std::int64_t minute = 0;
  const auto [end, error] =
      std::from_chars(proof.data(), proof.data() + proof.size(), minute);
  if (error != std::errc{} ||
      std::abs(now_ms / kMillisecondsPerMinute - minute) > kMaxMinutesApart) {
    return false;
  }
  const std::string expected = ProofOf(secret_key, minute);
  return proof.size() == expected.size() &&
         CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

}  // namespace eelgrassbridge::daemon
