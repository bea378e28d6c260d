#include <delivery/part.h>

#include <map>
#include <utility>

namespace camphorgrade::delivery {

namespace {

using wire_refusals = std::map<refusal_type, wire::attempt_refusal>;

const wire_refusals& refusals() {
    static const wire_refusals all{
        {refusal_type::leaving, wire::refusal_leaving},
        {refusal_type::queue_full, wire::refusal_queue_full},
        {refusal_type::unknown_adapter, wire::refusal_unknown_adapter},
        {refusal_type::sealed_epoch, wire::refusal_sealed_epoch},
        {refusal_type::quarantined, wire::refusal_quarantined},
        {refusal_type::key_reused, wire::refusal_key_reused},
        {refusal_type::record_unavailable, wire::refusal_record_unavailable},
        {refusal_type::deadline, wire::refusal_deadline},
        {refusal_type::backend_down, wire::refusal_backend_down},
        {refusal_type::load_failed, wire::refusal_load_failed},
    };
    return all;
}

/** Fills the message with the part; one overload for each kind. */
struct part_writer {
    wire::attempt_part* out;

    void operator()(const part_accepted&) const { out->mutable_accepted(); }

    void operator()(const part_head& each) const {
        auto* head = out->mutable_head();
        head->set_status(each.head.status);
        head->set_recorded(each.recorded);
        for (const auto& [name, value] : each.head.headers) {
            auto* header = head->add_headers();
            header->set_name(name);
            header->set_value(value);
        }
    }

    void operator()(const part_chunk& each) const { out->set_chunk(each.bytes); }

    void operator()(const part_end& each) const {
        out->mutable_end()->set_generated_tokens(each.generated_tokens);
    }

    void operator()(const part_refused& each) const {
        const auto found = refusals().find(each.type);
        const bool known = found != refusals().end();
        out->mutable_refused()->set_reason(known ? found->second : wire::refusal_unspecified);
        out->mutable_refused()->set_retry_after_ms(each.retry_after.count());
    }

    void operator()(const part_broken& each) const { out->mutable_broken()->set_death(each.death); }

    void operator()(const part_unknown& each) const {
        out->mutable_unknown()->set_retry_after_ms(each.retry_after.count());
    }
};

part_head read_head(const wire::attempt_head& head) {
    part_head read{{head.status(), {}}, head.recorded()};
    for (const auto& header : head.headers()) {
        read.head.headers.push_back({header.name(), header.value()});
    }
    return read;
}

boost::leaf::result<part> read_refused(const wire::attempt_refused& refused) {
    for (const auto& [type, on_wire] : refusals()) {
        if (on_wire == refused.reason()) {
            return part{part_refused{type, duration{refused.retry_after_ms()}}};
        }
    }
    return boost::leaf::new_error(part_error::unknown_refusal);
}

boost::leaf::result<part> read_part(const wire::attempt_part& received) {
    switch (received.part_case()) {
    case wire::attempt_part::kAccepted:
        return part{part_accepted{}};
    case wire::attempt_part::kHead:
        return part{read_head(received.head())};
    case wire::attempt_part::kChunk:
        return part{part_chunk{received.chunk()}};
    case wire::attempt_part::kEnd:
        return part{part_end{received.end().generated_tokens()}};
    case wire::attempt_part::kRefused:
        return read_refused(received.refused());
    case wire::attempt_part::kBroken:
        return part{part_broken{received.broken().death()}};
    case wire::attempt_part::kUnknown:
        return part{part_unknown{duration{received.unknown().retry_after_ms()}}};
    case wire::attempt_part::PART_NOT_SET:
        break;
    }
    return boost::leaf::new_error(part_error::missing_kind);
}

} // namespace

bool is_last(const part& any) noexcept {
    return std::holds_alternative<part_end>(any) || std::holds_alternative<part_refused>(any) ||
           std::holds_alternative<part_broken>(any) || std::holds_alternative<part_unknown>(any);
}

wire::attempt_part to_wire(const attempt_id& attempt, const numbered_part& numbered) {
    wire::attempt_part out;
    out.set_gateway_incarnation(attempt.gateway_life.value());
    out.set_request(attempt.request.value());
    out.set_attempt(attempt.number);
    out.set_sequence(numbered.sequence);
    std::visit(part_writer{&out}, numbered.content);
    return out;
}

boost::leaf::result<numbered_part> from_wire(const wire::attempt_part& received) {
    BOOST_LEAF_AUTO(content, read_part(received));
    return numbered_part{received.sequence(), std::move(content)};
}

} // namespace camphorgrade::delivery
