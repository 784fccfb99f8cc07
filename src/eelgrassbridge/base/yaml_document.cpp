// Builds the document tree from yaml-cpp's parser events.
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

/// Thrown if a document is valid YAML but is rejected.
struct RejectedDocument {
  int line;
  std::string message;
};

int LineOf(const YAML::Mark& mark) {
  return mark.line + 1;
}

/// Receives the events of yaml-cpp's parser.
struct TreeBuilder final : YAML::EventHandler {
  explicit TreeBuilder(const YamlLimits& bounds) : limits(bounds) {}

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    this->CheckNode(mark, {}, anchor);
    this->Add({.kind = YamlNode::Kind::kNull, .line = LineOf(mark)});
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    throw RejectedDocument{LineOf(mark), "aliases (*name) are not supported"};
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
      throw RejectedDocument{LineOf(mark), "anchors (&name) are not supported"};
    }
    // yaml-cpp reports the tag "?" for plain and "!" for quoted scalars.
    if (!tag.empty() && tag != "?" && tag != "!") {
      throw RejectedDocument{LineOf(mark), "tags (!name) are not supported"};
    }
    if (++this->nodes > this->limits.max_nodes) {
      throw RejectedDocument{
          LineOf(mark), fmt::format("more than {} values, the maximum per file",
                                    this->limits.max_nodes)};
    }
  }

  void Open(const YAML::Mark& mark,
            const std::string& tag,
            YAML::anchor_t anchor,
            YamlNode::Kind kind) {
    this->CheckNode(mark, tag, anchor);
    if (this->open.size() >= this->limits.max_depth) {
      throw RejectedDocument{
          LineOf(mark),
          fmt::format("nested deeper than the maximum of {} levels",
                      this->limits.max_depth)};
    }
    this->open.push_back({.kind = kind, .line = LineOf(mark)});
    this->pending_keys.emplace_back();
  }

  void Close() {
    YamlNode node = std::move(this->open.back());
    this->open.pop_back();
    this->pending_keys.pop_back();
    this->Add(std::move(node));
  }

  void Add(YamlNode node) {
    if (this->open.empty()) {
      this->root = std::move(node);
      return;
    }
    YamlNode& parent = this->open.back();
    if (parent.kind == YamlNode::Kind::kMap) {
      std::optional<YamlNode>& key = this->pending_keys.back();
      if (!key) {
        if (node.kind != YamlNode::Kind::kScalar) {
          throw RejectedDocument{node.line, "a field name must be a scalar"};
        }
        key = std::move(node);
        return;
      }
      parent.keys.push_back(std::move(key->scalar));
      parent.key_lines.push_back(key->line);
      key.reset();
    }
    parent.items.push_back(std::move(node));
  }

  YamlLimits limits;
  std::size_t nodes = 0;
  YamlNode root;
  /// Sequences and maps that have not ended yet; at most max_depth.
  std::vector<YamlNode> open;
  /// For each open node that is a map: the key whose value comes next.
  std::vector<std::optional<YamlNode>> pending_keys;
};

}  // namespace

YamlNode ParseYaml(std::string_view text,
                   const YamlLimits& limits,
                   Problems& problems) {
  if (text.size() > limits.max_bytes) {
    AddProblem(problems, 0, {},
               fmt::format("{} bytes; the maximum file size is {} bytes",
                           text.size(), limits.max_bytes));
    return {};
  }
  if (text.find('\0') != std::string_view::npos) {
    AddProblem(problems, 0, {}, "the file contains a NUL byte");
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
                 "second document in the file; expected one");
      return {};
    }
  } catch (const RejectedDocument& rejected) {
    AddProblem(problems, rejected.line, {}, rejected.message);
    return {};
  } catch (const YAML::Exception& error) {
    AddProblem(problems, error.mark.is_null() ? 0 : LineOf(error.mark), {},
               "invalid YAML: " + error.msg);
    return {};
  }
  return std::move(builder.root);
}

}  // namespace eelgrassbridge::base
