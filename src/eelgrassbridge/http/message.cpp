// Lookup, filtering and serialization of headers.
#include "eelgrassbridge/http/message.hpp"

#include <http_parser.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace eelgrassbridge::http {

namespace {

char Lower(char letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

/// Hop-by-hop headers, and those that are written anew for each connection.
constexpr std::array<std::string_view, 11> kHopByHop = {"Connection",
                                                        "Keep-Alive",
                                                        "Transfer-Encoding",
                                                        "Content-Length",
                                                        "TE",
                                                        "Trailer",
                                                        "Upgrade",
                                                        "Expect",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization"};

/// Whether a comma-separated list contains a header name.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (EqualsIgnoreCase(item, name)) {
      return true;
    }
    list = comma == std::string_view::npos ? std::string_view{}
                                           : list.substr(comma + 1);
  }
  return false;
}

void AppendHeaders(std::string& text,
                   const Headers& headers,
                   const Framing& framing) {
  for (const Header& header : headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  switch (framing.kind) {
    case Framing::Kind::kNone:
      break;
    case Framing::Kind::kLength:
      text += fmt::format("Content-Length: {}\r\n", framing.length);
      break;
    case Framing::Kind::kChunked:
      text += "Transfer-Encoding: chunked\r\n";
      break;
  }
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(
      left, right, [](char a, char b) { return Lower(a) == Lower(b); });
}

const std::string* Find(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

std::string_view HeaderValue(const Headers& headers, std::string_view name) {
  const std::string* const value = Find(headers, name);
  return value == nullptr ? std::string_view{} : std::string_view{*value};
}

void Remove(Headers& headers, std::string_view name) {
  std::erase_if(headers, [name](const Header& header) {
    return EqualsIgnoreCase(header.name, name);
  });
}

void Set(Headers& headers, std::string_view name, std::string value) {
  Remove(headers, name);
  headers.push_back({std::string(name), std::move(value)});
}

Headers EndToEndHeaders(const Headers& headers) {
  Headers forwarded;
  forwarded.reserve(headers.size() + 4);
  const std::string_view listed = HeaderValue(headers, "Connection");
  for (const Header& header : headers) {
    const bool hop_by_hop =
        std::ranges::any_of(kHopByHop, [&header](std::string_view name) {
          return EqualsIgnoreCase(header.name, name);
        });
    if (!hop_by_hop && !ListContains(listed, header.name)) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

std::string_view PathWithoutQuery(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (text.empty() || read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const Headers& headers,
                              const Framing& framing) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(text, headers, framing);
  text += "\r\n";
  return text;
}

std::string FormatResponseHead(int status,
                               const Headers& headers,
                               const Framing& framing,
                               bool keep_alive) {
  std::string text =
      fmt::format("HTTP/1.1 {} {}\r\n", status,
                  http_status_str(static_cast<http_status>(status)));
  AppendHeaders(text, headers, framing);
  text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
  return text;
}

std::string FormatChunk(std::string_view data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

}  // namespace eelgrassbridge::http
