// Conversion of yaml-cpp's parser events into a bounded tree.
#include "eelgrassbridge/base/yaml_document.hpp"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <optional>
#include <sstream>
#include <utility>

namespace eelgrassbridge::base {

namespace {

/// A document that is refused for a reason of our own, not of the syntax.
struct Refused {
  int line;
  std::string message;
};

int LineOf(const YAML::Mark& mark) {
  return mark.line + 1;
}

/// yaml-cpp's parser reports to a class with virtual functions.
struct TreeBuilder final : YAML::EventHandler {
  explicit TreeBuilder(const YamlLimits& bounds) : limits(bounds) {}

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    this->CheckNode(mark, {}, anchor);
    this->Add({.kind = YamlNode::Kind::kNull, .line = LineOf(mark)});
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    throw Refused{LineOf(mark), "aliases (*name) are not accepted"};
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string& tag,
                YAML::anchor_t anchor,
                const std::string& value) override {
    this->CheckNode(mark, tag, anchor);
    this->Add({.kind = YamlNode::Kind::kScalar,
               .line = LineOf(mark),
               .scalar = value});
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    this->Open(mark, tag, anchor, YamlNode::Kind::kSequence);
  }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    this->Open(mark, tag, anchor, YamlNode::Kind::kMap);
  }

  void OnSequenceEnd() override { this->Close(); }
  void OnMapEnd() override { this->Close(); }

  void CheckNode(const YAML::Mark& mark,
                 const std::string& tag,
                 YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      throw Refused{LineOf(mark), "anchors (&name) are not accepted"};
    }
    // "?" and "!" are yaml-cpp's marks for a plain and a quoted scalar.
    if (!tag.empty() && tag != "?" && tag != "!") {
      throw Refused{LineOf(mark), "tags (!name) are not accepted"};
    }
    if (++this->nodes > this->limits.max_nodes) {
      throw Refused{LineOf(mark), fmt::format("more than {} values; a file may "
                                              "hold at most that many",
                                              this->limits.max_nodes)};
    }
  }

  void Open(const YAML::Mark& mark,
            const std::string& tag,
            YAML::anchor_t anchor,
            YamlNode::Kind kind) {
    this->CheckNode(mark, tag, anchor);
    if (this->open.size() >= this->limits.max_depth) {
      throw Refused{LineOf(mark),
                    fmt::format("nested deeper than {} levels; at most that "
                                "many are accepted",
                                this->limits.max_depth)};
    }
    this->open.push_back({.kind = kind, .line = LineOf(mark)});
    this->pending_names.emplace_back();
  }

  void Close() {
    YamlNode node = std::move(this->open.back());
    this->open.pop_back();
    this->pending_names.pop_back();
    this->Add(std::move(node));
  }

  void Add(YamlNode node) {
    if (this->open.empty()) {
      this->root = std::move(node);
      return;
    }
    YamlNode& parent = this->open.back();
    if (parent.kind == YamlNode::Kind::kMap) {
      std::optional<YamlNode>& name = this->pending_names.back();
      if (!name) {
        if (node.kind != YamlNode::Kind::kScalar) {
          throw Refused{node.line, "a field name must be a plain word"};
        }
        name = std::move(node);
        return;
      }
      parent.names.push_back(std::move(name->scalar));
      parent.name_lines.push_back(name->line);
      name.reset();
    }
    parent.items.push_back(std::move(node));
  }

  YamlLimits limits;
  std::size_t nodes = 0;
  YamlNode root;
  /// Sequences and maps that have begun and not ended; at most max_depth.
  std::vector<YamlNode> open;
  /// For each open node that is a map: the name whose value comes next.
  std::vector<std::optional<YamlNode>> pending_names;
};

}  // namespace

YamlNode ParseYaml(std::string_view text,
                   const YamlLimits& limits,
                   Problems& problems) {
  if (text.size() > limits.max_bytes) {
    AddProblem(problems, 0, {},
               fmt::format("{} bytes; a file may have at most {} bytes",
                           text.size(), limits.max_bytes));
    return {};
  }
  if (text.find('\0') != std::string_view::npos) {
    AddProblem(problems, 0, {}, "the file holds a NUL byte");
    return {};
  }
  TreeBuilder builder(limits);
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    if (!parser.HandleNextDocument(builder)) {
      AddProblem(problems, 1, {}, "the file is empty");
      return {};
    }
    TreeBuilder rest(limits);
    if (parser.HandleNextDocument(rest)) {
      AddProblem(problems, rest.root.line, {},
                 "a second document; a file holds exactly one");
      return {};
    }
  } catch (const Refused& refused) {
    AddProblem(problems, refused.line, {}, refused.message);
    return {};
  } catch (const YAML::Exception& error) {
    AddProblem(problems, error.mark.is_null() ? 0 : LineOf(error.mark), {},
               "not valid YAML: " + error.msg);
    return {};
  }
  return std::move(builder.root);
}

}  // namespace eelgrassbridge::base
