#include "yaml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

namespace camphorgrade::config {
namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_quoted_bytes = 60;
constexpr std::uint64_t ms_per_s = 1000;

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || is_digit(c) || c == '.' ||
           c == '_' || c == '-';
}

std::string quote(std::string_view found) {
    std::string quoted = "'" + std::string(found.substr(0, max_quoted_bytes));
    return quoted + (found.size() > max_quoted_bytes ? "...'" : "'");
}

/** Digits only, at most `highest`. */
bool parse_whole(std::string_view digits, std::uint64_t highest, std::uint64_t& out) {
    const char* end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, out);
    return error == std::errc{} && rest == end && out <= highest && !digits.empty();
}

bool is_ipv4(std::string_view host) {
    constexpr std::uint64_t highest_part = 255;
    for (int part = 0; part < 4; ++part) {
        const std::size_t dot = host.find('.');
        std::uint64_t value = 0;
        if ((dot == std::string_view::npos) != (part == 3) ||
            !parse_whole(host.substr(0, dot), highest_part, value)) {
            return false;
        }
        host.remove_prefix(dot == std::string_view::npos ? host.size() : dot + 1);
    }
    return true;
}

bool is_ipv6(std::string_view host) {
    const bool shaped = host.size() > 3 && host.front() == '[' && host.back() == ']';
    return shaped && host.find_first_not_of("0123456789abcdefABCDEF:", 1) == host.size() - 1 &&
           host.find(':') != std::string_view::npos;
}

config_fault_kind number_fault(std::string_view found) {
    const std::size_t digits = found.find_first_not_of("0123456789");
    if (digits == std::string_view::npos && !found.empty()) {
        return config_fault_kind::out_of_bounds; // too long for 64 bits
    }
    const bool unit = digits != 0 && digits != std::string_view::npos &&
                      found.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                              "%/ ",
                                              digits) == std::string_view::npos;
    return unit ? config_fault_kind::bad_unit : config_fault_kind::bad_number;
}

} // namespace

void fault_list::add(config_fault_kind kind, const yaml_node& at, std::string path,
                     std::string detail) {
    if (faults_.size() < max_faults) {
        faults_.push_back({kind, at.line, at.column, std::move(path), std::move(detail)});
    }
}

void fault_list::add(const config_fault& fault) {
    if (faults_.size() < max_faults) {
        faults_.push_back(fault);
    }
}

std::vector<config_fault> fault_list::take() {
    std::stable_sort(faults_.begin(), faults_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    return std::move(faults_);
}

bool is_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_bytes && name.front() != '.' &&
           name.front() != '-' && std::all_of(name.begin(), name.end(), is_name_character);
}

bool is_address(std::string_view address) {
    constexpr std::uint64_t highest_port = 65535;
    const std::size_t colon = address.rfind(':');
    std::uint64_t port = 0;
    if (colon == std::string_view::npos ||
        !parse_whole(address.substr(colon + 1), highest_port, port) || port == 0) {
        return false;
    }
    return is_ipv4(address.substr(0, colon)) || is_ipv6(address.substr(0, colon));
}

map_reader::map_reader(const yaml_node& node, std::string path, fault_list& faults)
    : node_(&node), path_(std::move(path)), faults_(&faults) {
    if (!expect(node, yaml_kind::map, path_)) {
        return;
    }
    for (std::size_t i = 0; i + 1 < node.children.size(); i += 2) {
        entries_.push_back({&node.children[i], &node.children[i + 1], false});
    }
    std::stable_sort(entries_.begin(), entries_.end(),
                     [](const entry& a, const entry& b) { return a.key->scalar < b.key->scalar; });
    for (std::size_t i = 1; i < entries_.size(); ++i) {
        if (entries_[i].key->scalar == entries_[i - 1].key->scalar) {
            faults.add(config_fault_kind::duplicate, *entries_[i].key,
                       path_of(entries_[i].key->scalar), "the field is there twice");
        }
    }
}

std::string map_reader::path_of(std::string_view field) const {
    return path_.empty() ? std::string(field) : path_ + '.' + std::string(field);
}

bool map_reader::has(std::string_view field) const {
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const entry& each) { return each.key->scalar == field; });
}

const yaml_node* map_reader::find(std::string_view field, presence needed) {
    auto found = std::lower_bound(
        entries_.begin(), entries_.end(), field,
        [](const entry& each, std::string_view name) { return each.key->scalar < name; });
    const yaml_node* value = nullptr;
    for (; found != entries_.end() && found->key->scalar == field; ++found) {
        found->asked = true;
        value = value == nullptr ? found->value : value;
    }
    if (value == nullptr && needed == presence::required && node_->kind == yaml_kind::map) {
        faults_->add(config_fault_kind::missing_field, *node_, path_of(field), "is required");
    }
    return value;
}

bool map_reader::expect(const yaml_node& node, yaml_kind kind, const std::string& path) {
    static constexpr std::array<const char*, 4> names{"nothing", "a scalar", "a list", "a map"};
    if (node.kind == kind) {
        return true;
    }
    const auto name = [](yaml_kind each) { return names.at(static_cast<std::size_t>(each)); };
    faults_->add(config_fault_kind::wrong_type, node, path,
                 std::string("expected ") + name(kind) + ", found " + name(node.kind));
    return false;
}

const yaml_node* map_reader::scalar(std::string_view field, presence needed) {
    const yaml_node* node = find(field, needed);
    return node != nullptr && expect(*node, yaml_kind::scalar, path_of(field)) ? node : nullptr;
}

void map_reader::name(std::string_view field, std::string& out, presence needed) {
    const yaml_node* node = scalar(field, needed);
    if (node == nullptr) {
        return;
    }
    if (is_name(node->scalar)) {
        out = node->scalar;
    } else {
        faults_->add(config_fault_kind::bad_name, *node, path_of(field), quote(node->scalar));
    }
}

void map_reader::address(std::string_view field, std::string& out, presence needed) {
    const yaml_node* node = scalar(field, needed);
    if (node == nullptr) {
        return;
    }
    if (is_address(node->scalar)) {
        out = node->scalar;
    } else {
        faults_->add(config_fault_kind::bad_address, *node, path_of(field),
                     "expected ip:port, found " + quote(node->scalar));
    }
}

void map_reader::text(std::string_view field, std::string& out, presence needed) {
    const yaml_node* node = scalar(field, needed);
    if (node != nullptr) {
        out = node->scalar;
    }
}

void map_reader::flag(std::string_view field, bool& out) {
    std::size_t index = 0;
    if (spelled(field, {"false", "true"}, index, presence::optional)) {
        out = index == 1;
    }
}

void map_reader::names(std::string_view field, std::vector<std::string>& out, presence needed) {
    items(field, needed, [&](const yaml_node& node, const std::string& path) {
        if (!expect(node, yaml_kind::scalar, path)) {
            return;
        }
        if (!is_name(node.scalar)) {
            faults_->add(config_fault_kind::bad_name, node, path, quote(node.scalar));
        } else if (std::find(out.begin(), out.end(), node.scalar) != out.end()) {
            faults_->add(config_fault_kind::duplicate, node, path, quote(node.scalar));
        } else {
            out.push_back(node.scalar);
        }
    });
}

void map_reader::milliseconds(std::string_view field, duration& out, bounds allowed) {
    std::uint64_t value = 0;
    if (whole_number(field, value, allowed, presence::optional)) {
        out = duration{static_cast<std::int64_t>(value)};
    }
}

void map_reader::seconds(std::string_view field, duration& out, bounds allowed) {
    std::uint64_t value = 0;
    if (whole_number(field, value, allowed, presence::optional)) {
        out = duration{static_cast<std::int64_t>(value * ms_per_s)};
    }
}

bool map_reader::whole_number(std::string_view field, std::uint64_t& out, bounds allowed,
                              presence needed) {
    const yaml_node* node = scalar(field, needed);
    if (node == nullptr) {
        return false;
    }
    std::uint64_t value = 0;
    if (!parse_whole(node->scalar, std::numeric_limits<std::uint64_t>::max(), value)) {
        faults_->add(number_fault(node->scalar), *node, path_of(field),
                     "expected a whole number, found " + quote(node->scalar));
        return false;
    }
    if (value < allowed.lowest || value > allowed.highest) {
        faults_->add(config_fault_kind::out_of_bounds, *node, path_of(field),
                     "expected " + std::to_string(allowed.lowest) + " to " +
                         std::to_string(allowed.highest) + ", found " + quote(node->scalar));
        return false;
    }
    out = value;
    return true;
}

bool map_reader::spelled(std::string_view field, const std::vector<std::string_view>& spellings,
                         std::size_t& index, presence needed) {
    const yaml_node* node = scalar(field, needed);
    if (node == nullptr) {
        return false;
    }
    const auto found = std::find(spellings.begin(), spellings.end(), node->scalar);
    if (found != spellings.end()) {
        index = static_cast<std::size_t>(found - spellings.begin());
        return true;
    }
    std::string detail = "expected";
    for (const std::string_view each : spellings) {
        detail += (each == spellings.front() ? " " : " or ") + std::string(each);
    }
    faults_->add(config_fault_kind::bad_value, *node, path_of(field),
                 detail + ", found " + quote(node->scalar));
    return false;
}

void map_reader::finish() {
    for (const entry& each : entries_) {
        if (!each.asked) {
            faults_->add(config_fault_kind::unknown_field, *each.key,
                         path_of(quote(each.key->scalar)), "this format has no such field");
        }
    }
}

} // namespace camphorgrade::config
