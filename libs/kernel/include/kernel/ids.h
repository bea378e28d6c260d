#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace camphorgrade {

/**
 * An identifier of type `Rep`; each `Tag` makes a distinct type without implicit conversions.
 * Immutable except by assignment; as thread safe as `Rep`.
 */
template <typename Tag, typename Rep>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(Rep value) : value_(std::move(value)) {}

    const Rep& value() const noexcept { return value_; }

    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend auto operator<=>(const strong_id& a, const strong_id& b) {
        return a.value_ <=> b.value_;
    }

private:
    Rep value_{};
};

/** Name of one node (a process of the system); unique in the fleet, set in its settings. */
using node_id = strong_id<struct node_id_tag, std::string>;

/** Distinguishes restarts of a node: a restarted process has a larger one. Zero means unknown. */
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/** Identifies a request from a caller; unique within one incarnation of a gateway. */
using request_id = strong_id<struct request_id_tag, std::uint64_t>;

/** Identifies one HTTP call from an agent to its backend server. */
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

} // namespace camphorgrade

template <typename Tag, typename Rep>
struct std::hash<camphorgrade::strong_id<Tag, Rep>> {
    std::size_t operator()(const camphorgrade::strong_id<Tag, Rep>& id) const noexcept {
        return std::hash<Rep>{}(id.value());
    }
};
