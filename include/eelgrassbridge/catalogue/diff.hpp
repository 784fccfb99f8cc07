// Differences between two catalogues, and the checks that reject changes which
// are impossible or need a confirmation.
#ifndef EELGRASSBRIDGE_CATALOGUE_DIFF_HPP
#define EELGRASSBRIDGE_CATALOGUE_DIFF_HPP

#include <string>
#include <vector>

#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief The type of the changed entry.
enum class Subject : std::uint8_t {
  kSite,
  kDataCentre,
  kService,
  kRequestKind,
  kAccount,
  kOutOfService,
};

enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

/// @brief One difference between two catalogues.
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

/// @brief Returns all differences except version, author, time and reason.
std::vector<Change> Diff(const Catalogue& before, const Catalogue& after);

/// @brief Formats a change as one line, e.g.
/// "~ account ferreira home_regions: litoral+sur -> sur".
std::string ToString(const Change& change);

/// @brief Returns the reasons why a change would leave requests unserved: a
/// service without a data centre in service in its regions, or an account
/// without one in its home regions. Conditions that existed before the change
/// are not reported.
std::vector<std::string> UnsafeReasons(const Catalogue& before,
                                       const Catalogue& after);

/// @brief Returns the reasons why a change is rejected in any case: it would
/// map the keys of a service to other groups, and until all daemons have the
/// new version a key would have one owner by the old mapping and another by the
/// new one.
std::vector<std::string> ForbiddenReasons(const Catalogue& before,
                                          const Catalogue& after);

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_DIFF_HPP
