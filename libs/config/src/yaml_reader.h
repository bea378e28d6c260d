#pragma once

#include "yaml_tree.h"

#include <kernel/clock.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

enum class presence { required, optional };

/** Inclusive bounds of a number. */
struct bounds {
    std::uint64_t lowest = 0;
    std::uint64_t highest = std::numeric_limits<std::uint64_t>::max();
};

/** Collects faults; at most `max_faults` so that garbage does not make an endless report. */
class fault_list {
public:
    void add(config_fault_kind kind, const yaml_node& at, std::string path, std::string detail);
    void add(const config_fault& fault);
    bool empty() const noexcept { return faults_.empty(); }

    /** All faults in the order of their places. */
    std::vector<config_fault> take();

private:
    static constexpr std::size_t max_faults = 1000;
    std::vector<config_fault> faults_;
};

/** Whether `name` may name something: letters, digits, '.', '_' and '-', at most 128. */
bool is_name(std::string_view name);

/** Whether `address` is "a.b.c.d:port" or "[v6]:port". */
bool is_address(std::string_view address);

/**
 * Reads the fields of one YAML map, each into a variable. What is wrong goes to the fault list and
 * leaves the variable as it was. finish() reports the fields that nobody asked for.
 */
class map_reader {
public:
    map_reader(const yaml_node& node, std::string path, fault_list& faults);

    void name(std::string_view field, std::string& out, presence needed);
    void address(std::string_view field, std::string& out, presence needed);
    void text(std::string_view field, std::string& out, presence needed);
    void flag(std::string_view field, bool& out);
    void names(std::string_view field, std::vector<std::string>& out, presence needed);
    void milliseconds(std::string_view field, duration& out, bounds allowed);
    void seconds(std::string_view field, duration& out, bounds allowed);

    template <typename T>
    void number(std::string_view field, T& out, bounds allowed,
                presence needed = presence::optional) {
        std::uint64_t value = 0;
        if (whole_number(field, value, allowed, needed)) {
            out = static_cast<T>(value);
        }
    }

    /** One of `spellings`; calls `set` with its index. */
    template <typename T, std::size_t N>
    void choice(std::string_view field, T& out, const std::string_view (&spellings)[N],
                presence needed) {
        std::size_t index = 0;
        if (spelled(field, {spellings, spellings + N}, index, needed)) {
            out = static_cast<T>(index);
        }
    }

    /** Calls `read(node, path)` for each item of a list. */
    template <typename F>
    void items(std::string_view field, presence needed, F read) {
        const yaml_node* list = find(field, needed);
        if (list == nullptr || !expect(*list, yaml_kind::sequence, path_of(field))) {
            return;
        }
        for (std::size_t i = 0; i < list->children.size(); ++i) {
            read(list->children[i], path_of(field) + '[' + std::to_string(i) + ']');
        }
    }

    /** Calls `read(node, path)` for a nested map when the field is there. */
    template <typename F>
    void nested(std::string_view field, presence needed, F read) {
        if (const yaml_node* node = find(field, needed)) {
            read(*node, path_of(field));
        }
    }

    /** Whether the field is there; does not count as asking for it. */
    bool has(std::string_view field) const;

    /** The field's node, or null; a missing required field is reported. */
    const yaml_node* find(std::string_view field, presence needed);

    std::string path_of(std::string_view field) const;

    /** Reports every field that was not asked for. */
    void finish();

private:
    struct entry {
        const yaml_node* key = nullptr;
        const yaml_node* value = nullptr;
        bool asked = false;
    };

    bool expect(const yaml_node& node, yaml_kind kind, const std::string& path);
    const yaml_node* scalar(std::string_view field, presence needed);
    bool whole_number(std::string_view field, std::uint64_t& out, bounds allowed, presence needed);
    bool spelled(std::string_view field, const std::vector<std::string_view>& spellings,
                 std::size_t& index, presence needed);

    const yaml_node* node_;
    std::string path_;
    fault_list* faults_;
    std::vector<entry> entries_; // in name order
};

} // namespace camphorgrade::config
