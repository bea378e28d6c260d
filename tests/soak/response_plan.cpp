#include "response_plan.h"

#include <edge/header_rules.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace camphorgrade::soak {

namespace {

// A response has about this many bytes, so that each of them can be the last.
constexpr std::uint64_t response_bytes = 1'300;

repetition draw_repetition(random_source& random) {
    repetition out;
    out.when = static_cast<repetition_time>(random.below(3));
    out.has_id = random.below(2) == 0;
    out.has_framing = random.below(2) == 0;
    return out;
}

} // namespace

std::optional<response_fault_kind> find_fault_kind(const std::string& name) {
    constexpr std::array names{"unframed", "fragmented", "cut",      "unframed-cut",
                               "repeated", "early",      "wrong-ids"};
    const auto* const found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt
                                : std::optional(static_cast<response_fault_kind>(
                                      std::distance(names.begin(), found)));
}

void add_faults(response_faults& faults, response_fault_kind kind) {
    constexpr double usual_share = 0.3;
    switch (kind) {
    case response_fault_kind::unframed:
        faults.unframed_share = usual_share;
        break;
    case response_fault_kind::fragmented:
        faults.fragmented_share = usual_share;
        break;
    case response_fault_kind::cut:
        faults.cut_share = usual_share;
        break;
    case response_fault_kind::unframed_cut:
        faults.unframed_share = 1;
        faults.cut_share = usual_share;
        break;
    case response_fault_kind::repeated:
        faults.repeated_share = usual_share;
        break;
    case response_fault_kind::early:
        faults.early_share = 1;
        break;
    case response_fault_kind::wrong_ids:
        faults.wrong_id_share = usual_share;
        break;
    }
}

response_plan draw_plan(const response_faults& faults, random_source& random) {
    response_plan out;
    out.is_unframed = random.unit() < faults.unframed_share;
    out.is_fragmented = random.unit() < faults.fragmented_share;
    if (random.unit() < faults.cut_share) {
        out.cut_after = random.below(response_bytes);
        out.resets_connection = random.below(2) == 0;
    }
    if (random.unit() < faults.repeated_share) {
        out.repeats = draw_repetition(random);
    }
    return out;
}

std::string head_text(const http_head& head, bool has_id) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ' +
                      std::string(edge::reason_phrase(head.status)) + "\r\n";
    for (const auto& each : head.headers) {
        if (has_id || !edge::same_header_name(each.name, "X-Request-Id")) {
            out += each.name + ": " + each.value + "\r\n";
        }
    }
    return out;
}

std::string chunk_text(std::string_view bytes) {
    std::array<char, 16> size{};
    constexpr int hexadecimal = 16;
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal);
    return std::string(size.data(), end.ptr) + "\r\n" + std::string(bytes) + "\r\n";
}

} // namespace camphorgrade::soak
