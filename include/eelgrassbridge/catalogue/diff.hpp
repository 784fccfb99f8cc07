// Differences between two catalogues, and changes that must not be made by
// mistake.
#ifndef EELGRASSBRIDGE_CATALOGUE_DIFF_HPP
#define EELGRASSBRIDGE_CATALOGUE_DIFF_HPP

#include <string>
#include <vector>

#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief What a change is about.
enum class Subject : std::uint8_t {
  kSite,
  kDataCentre,
  kService,
  kRequestKind,
  kAccount,
  kOutOfService,
};

enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

/// @brief One difference.
struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  Subject subject = Subject::kSite;
  /// Name of the entry; "service/kind" for a request kind.
  std::string name;
  /// For kChanged: the field and its values.
  std::string field;
  std::string before;
  std::string after;

  bool operator==(const Change&) const = default;
};

/// @brief All differences except version, author, time and reason.
std::vector<Change> Diff(const Catalogue& before, const Catalogue& after);

/// @brief E.g. "~ account ferreira home_regions: litoral+sur -> sur".
std::string ToString(const Change& change);

/// @brief Why a change would stop requests from being served: a service is
/// left without a data centre in service in its regions, or an account without
/// one in its home regions. Only what the change itself brings about counts.
std::vector<std::string> UnsafeReasons(const Catalogue& before,
                                       const Catalogue& after);

/// @brief Why a change cannot be made at all: it would map the keys of a
/// service to other groups, and while it spreads a key would have one owner by
/// the old mapping and another one by the new.
std::vector<std::string> ForbiddenReasons(const Catalogue& before,
                                          const Catalogue& after);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_DIFF_HPP
