// The command keys generate.
#include <spdlog/fmt/fmt.h>
#include <zmq.h>

#include <array>
#include <nlohmann/json.hpp>
#include <ostream>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/daemon/admin_access.hpp"

namespace eelgrassbridge::cli {

namespace {

/// 40 Z85 characters and the terminating zero.
constexpr std::size_t kZ85KeySize = 41;

ExitCode GenerateKeys(CommandContext& context) {
  std::array<char, kZ85KeySize> public_key{};
  std::array<char, kZ85KeySize> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    return ReportError(context, {base::ErrorKind::kInternal,
                                 "the ZeroMQ library has no CURVE support"});
  }
  // 256 random bits can't be guessed even if the hash is public.
  const std::string token = base::RandomHex128() + base::RandomHex128();
  const std::string hash = daemon::Sha256Hex(token);
  if (context.json) {
    PrintJson(context, {{"public_key", public_key.data()},
                        {"secret_key", secret_key.data()},
                        {"token", token},
                        {"sha256", hash}});
    return ExitCode::kSuccess;
  }
  context.out << fmt::format(
      "# for the settings of every daemon of the site\nkeys:\n  public_key: "
      "\"{}\"\n  secret_key: \"{}\"\n# the token, for the operator's token "
      "file only\n# {}\noperators:\n  - name: NAME\n    sha256: {}\n    "
      "scopes: "
      "[read, change_catalogue, take_out]\n",
      public_key.data(), secret_key.data(), token, hash);
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> KeysCommands() {
  return {{"keys generate",
           "Generate a key pair for the daemons and a token for an operator",
           {},
           false,
           nullptr,
           GenerateKeys}};
}

}  // namespace eelgrassbridge::cli
