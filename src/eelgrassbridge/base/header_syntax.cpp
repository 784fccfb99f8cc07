// Character classes of names and values of headers.
#include "eelgrassbridge/base/header_syntax.hpp"

#include <strings.h>

namespace eelgrassbridge::base {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

constexpr bool IsBetween(char letter, char first, char last) {
  return letter >= first && letter <= last;
}

constexpr bool IsTokenCharacter(char letter) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return IsBetween(letter, 'a', 'z') || IsBetween(letter, 'A', 'Z') ||
         IsBetween(letter, '0', '9') ||
         kPunctuation.find(letter) != std::string_view::npos;
}

constexpr bool IsValueCharacter(char letter) {
  const auto byte = static_cast<unsigned char>(letter);
  return letter == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

bool IsHeaderValue(std::string_view text) {
  return std::ranges::all_of(text, IsValueCharacter);
}

bool IsFinalStatus(int status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

bool IsChunkedCoding(std::string_view value) {
  constexpr std::string_view kChunked = "chunked";
  return value.size() == kChunked.size() &&
         strncasecmp(value.data(), kChunked.data(), kChunked.size()) == 0;
}

}  // namespace eelgrassbridge::base
