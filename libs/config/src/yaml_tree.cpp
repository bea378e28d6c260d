#include "yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <charconv>
#include <istream>
#include <streambuf>

namespace camphorgrade::config {
namespace {

constexpr std::size_t max_text_bytes = 64U << 20U;
constexpr std::size_t max_depth = 16;

/** Unwinds out of the parser at the first thing that makes the rest unreadable. */
struct unreadable {
    config_fault fault;
};

std::uint32_t position(int zero_based) {
    return zero_based < 0 ? 0 : static_cast<std::uint32_t>(zero_based) + 1;
}

/** Builds a yaml_node tree from the parser's events. */
class tree_builder final : public YAML::EventHandler {
public:
    void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
        add(yaml_kind::null, mark, anchor);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
        fail(config_fault_kind::syntax, mark, "aliases are not accepted");
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override {
        if (tag != "?" && tag != "!") {
            fail(config_fault_kind::syntax, mark, "tags are not accepted");
        }
        yaml_node& node = add(yaml_kind::scalar, mark, anchor);
        node.scalar = value;
        node.quoted = tag == "!";
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override {
        open(yaml_kind::sequence, mark, anchor);
    }
    void OnSequenceEnd() override { open_.pop_back(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override {
        open(yaml_kind::map, mark, anchor);
    }
    void OnMapEnd() override { open_.pop_back(); }

    yaml_node take_root() { return std::move(root_); }

private:
    [[noreturn]] static void fail(config_fault_kind kind, const YAML::Mark& mark,
                                  const char* detail) {
        throw unreadable{{kind, position(mark.line), position(mark.column), "", detail}};
    }

    yaml_node& add(yaml_kind kind, const YAML::Mark& mark, YAML::anchor_t anchor) {
        if (anchor != YAML::NullAnchor) {
            fail(config_fault_kind::syntax, mark, "anchors are not accepted");
        }
        yaml_node& node = open_.empty() ? root_ : open_.back()->children.emplace_back();
        node.kind = kind;
        node.line = position(mark.line);
        node.column = position(mark.column);
        return node;
    }

    void open(yaml_kind kind, const YAML::Mark& mark, YAML::anchor_t anchor) {
        if (open_.size() == max_depth) {
            fail(config_fault_kind::too_large, mark, "nested too deeply");
        }
        open_.push_back(&add(kind, mark, anchor));
    }

    yaml_node root_;
    std::vector<yaml_node*> open_; // an open node's parent gets no sibling, so pointers hold
};

/** Reads from a view without a copy of it. */
class view_buffer final : public std::streambuf {
public:
    explicit view_buffer(std::string_view text) {
        char* begin = const_cast<char*>(text.data()); // never written: there is no put area
        setg(begin, begin, begin + text.size());
    }
};

yaml_node read_document(std::string_view yaml) {
    view_buffer buffer(yaml);
    std::istream input(&buffer);
    YAML::Parser parser(input);
    tree_builder tree;
    parser.HandleNextDocument(tree);
    tree_builder rest;
    if (parser.HandleNextDocument(rest)) {
        const yaml_node second = rest.take_root();
        throw unreadable{{config_fault_kind::syntax, second.line, second.column, "",
                          "only one document is accepted"}};
    }
    return tree.take_root();
}

const yaml_node* child(const yaml_node& node, std::string_view key) {
    if (node.kind != yaml_kind::map) {
        return nullptr;
    }
    for (std::size_t i = 0; i + 1 < node.children.size(); i += 2) {
        if (node.children[i].scalar == key) {
            return &node.children[i + 1];
        }
    }
    return nullptr;
}

const yaml_node* item(const yaml_node& node, std::string_view digits) {
    std::size_t index = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), index);
    const bool inside = node.kind == yaml_kind::sequence && index < node.children.size();
    return inside ? &node.children[index] : nullptr;
}

} // namespace

parse_result<yaml_node> read_yaml(std::string_view yaml) {
    if (yaml.size() > max_text_bytes) {
        return std::vector<config_fault>{
            {config_fault_kind::too_large, 0, 0, "", "more than 64 MiB"}};
    }
    try {
        return read_document(yaml);
    } catch (const unreadable& stopped) {
        return std::vector<config_fault>{stopped.fault};
    } catch (const YAML::Exception& error) {
        return std::vector<config_fault>{{config_fault_kind::syntax, position(error.mark.line),
                                          position(error.mark.column), "", error.msg}};
    }
}

const yaml_node& locate(const yaml_node& root, std::string_view path) {
    const yaml_node* found = &root;
    while (!path.empty()) {
        const yaml_node* next = nullptr;
        if (path.front() == '[') {
            const std::size_t close = path.find(']');
            next = item(*found, path.substr(1, close - 1));
            path.remove_prefix(close + 1);
        } else {
            path.remove_prefix(path.front() == '.' ? 1 : 0);
            const std::size_t end = std::min(path.find_first_of(".["), path.size());
            next = child(*found, path.substr(0, end));
            path.remove_prefix(end);
        }
        if (next == nullptr) {
            break;
        }
        found = next;
    }
    return *found;
}

} // namespace camphorgrade::config
