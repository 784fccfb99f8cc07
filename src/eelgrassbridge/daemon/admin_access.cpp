// Token verification with OpenSSL.
#include "eelgrassbridge/daemon/admin_access.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace eelgrassbridge::daemon {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kMaxTokenBytes = 512;

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    text += fmt::format("{:02x}", byte);
  }
  return text;
}

base::Result<const settings::OperatorToken*> FindOperator(
    const std::vector<settings::OperatorToken>& operators,
    std::string_view authorization,
    std::int64_t now_s) {
  if (!authorization.starts_with(kScheme) ||
      authorization.size() > kScheme.size() + kMaxTokenBytes) {
    return base::Fail(base::ErrorKind::kUnauthorized,
                      "expected the header Authorization: Bearer TOKEN");
  }
  const std::string hash = Sha256Hex(authorization.substr(kScheme.size()));
  const settings::OperatorToken* found = nullptr;
  // The loop does not stop at a match, so that its run time does not reveal
  // which entry matched.
  for (const settings::OperatorToken& token : operators) {
    const bool is_same =
        token.sha256.size() == hash.size() &&
        CRYPTO_memcmp(token.sha256.data(), hash.data(), hash.size()) == 0;
    const bool is_expired = token.expires && now_s >= *token.expires;
    if (is_same && !is_expired) {
      found = &token;
    }
  }
  if (found == nullptr) {
    return base::Fail(base::ErrorKind::kUnauthorized,
                      "the token is unknown or has expired");
  }
  return found;
}

bool HasScope(const settings::OperatorToken& token,
              settings::OperatorScope scope) {
  return std::ranges::find(token.scopes, scope) != token.scopes.end();
}

}  // namespace eelgrassbridge::daemon
