// Character classes of the names of headers.
#include "eelgrassbridge/base/header_syntax.hpp"

#include <algorithm>

namespace eelgrassbridge::base {

namespace {

constexpr bool IsBetween(char letter, char first, char last) {
  return letter >= first && letter <= last;
}

constexpr bool IsTokenCharacter(char letter) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return IsBetween(letter, 'a', 'z') || IsBetween(letter, 'A', 'Z') ||
         IsBetween(letter, '0', '9') ||
         kPunctuation.find(letter) != std::string_view::npos;
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

}  // namespace eelgrassbridge::base
