#include <peering/peer_messages.h>

#include "message_ages.h"

#include <wire/peering.pb.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace camphorgrade::peering {

namespace {

// Bounds the queue that one request can cause.
constexpr std::uint32_t max_wanted_permits = 1'000;
// Bounds of what one report may say of parts of prompts.
constexpr int max_part_crashes = 64;
constexpr int max_parts_per_crash = 64;
constexpr int max_part_starts = 256;
constexpr std::uint32_t max_starts_of_part = 10'000;
// Bounds of what one message may say of, or ask about, streams.
constexpr int max_stream_origins = 1'000;
// Bounds the software versions that one message may name.
constexpr int max_software_records = 256;
// Bounds the data centres that one report may state as evacuated.
constexpr int max_evacuated_data_centres = 1'000;
// Bounds the reservations that one report may state.
constexpr int max_reservations = 1'000;
// Bounds the measured speeds that one report may state.
constexpr int max_speed_samples = 1'000;
constexpr double thousandths = 1'000;
constexpr double max_cost = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t max_urgency = 1'000;

bool is_amount(double value) {
    return std::isfinite(value) && value >= 0;
}

/** Whether the numbers of a demand can be computed with. */
bool has_valid_amounts(const wire::engine_demand& in) {
    return is_amount(in.weights_mb()) &&
           std::all_of(in.models().begin(), in.models().end(), [](const auto& each) {
               return is_amount(each.weights_mb()) && is_amount(each.adapter_mb());
           });
}

void write(const adapters::engine_demand& demand, wire::engine_demand& out) {
    out.set_backend_id(demand.backend_id);
    out.set_backend_born(demand.backend_started_at_ms);
    for (const auto& each : demand.adapters) {
        auto& want = *out.add_wants();
        want.set_weights(each.weights.name);
        want.set_version(each.weights.version);
        want.set_waiting(each.waiting);
        want.set_in_use(each.in_use);
        want.set_oldest_wait_ms(static_cast<std::uint32_t>(each.oldest_wait.count()));
        want.set_urgency(each.urgency);
        want.set_time_to_objective_ms(static_cast<std::uint32_t>(each.time_to_objective.count()));
    }
    out.set_queued_prompt_tokens(demand.queued_prompt_tokens);
    out.set_adapter_places(demand.shape.adapter_slots);
    out.set_weights_mb(demand.shape.weights_capacity_mb);
    for (const auto& each : demand.shape.models) {
        auto& model = *out.add_models();
        model.set_name(each.name);
        model.set_weights_mb(each.weights_mb);
        model.set_adapter_mb(each.adapter_mb);
    }
    out.set_report_wish(static_cast<std::uint32_t>(demand.subscription));
}

/** Decodes a subscription. A value that only a later version knows is treated as none. */
adapters::report_subscription parse_subscription(std::uint32_t wire_value) {
    using adapters::report_subscription;
    const bool is_known = wire_value <= static_cast<std::uint32_t>(report_subscription::relay);
    return is_known ? static_cast<report_subscription>(wire_value) : report_subscription::none;
}

adapters::engine_demand read(const wire::engine_demand& in) {
    adapters::engine_demand demand;
    demand.backend_id = in.backend_id();
    demand.backend_started_at_ms = in.backend_born();
    for (const auto& each : in.wants()) {
        demand.adapters.push_back({{each.weights(), each.version()},
                                   each.waiting(),
                                   each.in_use(),
                                   duration{each.oldest_wait_ms()},
                                   each.urgency(),
                                   duration{each.time_to_objective_ms()}});
    }
    demand.queued_prompt_tokens = in.queued_prompt_tokens();
    demand.shape.adapter_slots = in.adapter_places();
    demand.shape.weights_capacity_mb = in.weights_mb();
    for (const auto& each : in.models()) {
        demand.shape.models.push_back({each.name(), each.weights_mb(), each.adapter_mb(), {}});
    }
    demand.subscription = parse_subscription(in.report_wish());
    return demand;
}

void write(const engine_report& report, wire::engine_report& out) {
    const auto& state = report.state;
    out.set_backend_id(report.backend_id);
    out.set_born(state.started_at_ms);
    for (const auto& each : state.models) {
        auto& model = *out.add_models();
        model.set_name(each.name);
        model.set_version(each.version);
    }
    for (const auto& each : state.adapters) {
        auto& adapter = *out.add_adapters();
        adapter.set_name(each.weights.name);
        adapter.set_version(each.weights.version);
        adapter.set_is_loading(each.is_loading);
        adapter.set_in_use(each.in_use);
    }
    if (state.pending_model) {
        out.set_coming_model(state.pending_model->name);
        out.set_coming_model_ms(static_cast<std::uint32_t>(state.pending_model->time_left.count()));
    }
    out.set_evictable(state.available_adapter_slots);
    out.set_unplaced(state.unplaced);
    out.set_waiting(state.waiting);
    out.set_running(state.running);
    out.set_kv_used(state.kv_used);
    out.set_kv_total(state.kv_total);
    out.set_queued_prompt_tokens(state.queued_prompt_tokens);
    out.set_is_unreachable(!state.is_reachable);
    out.set_cold_loads(state.cold_loads);
    out.set_last_cold_load_ms(static_cast<std::uint32_t>(state.last_cold_load.count()));
    for (const auto& each : report.gateways) {
        out.add_gateways(each);
    }
}

engine_report read(const wire::engine_report& in) {
    engine_report report;
    report.backend_id = in.backend_id();
    auto& state = report.state;
    state.started_at_ms = in.born();
    for (const auto& each : in.models()) {
        state.models.push_back({each.name(), each.version()});
    }
    for (const auto& each : in.adapters()) {
        state.adapters.push_back({{each.name(), each.version()}, each.is_loading(), each.in_use()});
    }
    if (!in.coming_model().empty()) {
        state.pending_model = {in.coming_model(), duration{in.coming_model_ms()}};
    }
    state.available_adapter_slots = in.evictable();
    state.unplaced = in.unplaced();
    state.waiting = in.waiting();
    state.running = in.running();
    state.kv_used = in.kv_used();
    state.kv_total = in.kv_total();
    state.queued_prompt_tokens = in.queued_prompt_tokens();
    state.is_reachable = !in.is_unreachable();
    state.cold_loads = in.cold_loads();
    state.last_cold_load = duration{in.last_cold_load_ms()};
    report.gateways.assign(in.gateways().begin(), in.gateways().end());
    return report;
}

void write(const serving::limit_report& report, wire::observed_limit& out) {
    out.set_backend_id(report.server.id);
    out.set_born(report.server.started_at_ms);
    out.set_has_limit(report.requests_per_s.has_value());
    out.set_limit_per_s(report.requests_per_s.value_or(0));
    out.set_age_ms(static_cast<std::uint32_t>(report.age.count()));
}

serving::limit_report read(const wire::observed_limit& in) {
    return {{in.backend_id(), in.born()},
            in.has_limit() ? std::optional(in.limit_per_s()) : std::nullopt,
            duration{in.age_ms()}};
}

void write(const serving::permit_requests& requests, wire::permit_requests& out) {
    for (const auto& each : requests.requests) {
        auto& request = *out.add_requests();
        request.set_backend_id(each.server.id);
        request.set_born(each.server.started_at_ms);
        request.set_limit_per_s(each.limit_per_s);
        request.set_session(each.session);
        request.set_received(each.received);
        request.set_wanted(each.wanted);
        request.set_spare(each.spare);
    }
}

/** Decodes the requests; those without a valid limit are left out. */
serving::permit_requests read(const wire::permit_requests& in) {
    serving::permit_requests out;
    for (const auto& each : in.requests()) {
        if (is_amount(each.limit_per_s())) {
            out.requests.push_back({{each.backend_id(), each.born()},
                                    each.limit_per_s(),
                                    each.session(),
                                    each.received(),
                                    std::min(each.wanted(), max_wanted_permits),
                                    std::min(each.spare(), max_wanted_permits)});
        }
    }
    return out;
}

void write(const serving::permit_grants& grants, wire::permit_grants& out) {
    for (const auto& each : grants.grants) {
        auto& grant = *out.add_grants();
        grant.set_backend_id(each.server.id);
        grant.set_born(each.server.started_at_ms);
        grant.set_session(each.session);
        grant.set_granted(each.granted);
        grant.set_first_wait_ms(static_cast<std::uint32_t>(each.first_wait.count()));
        grant.set_next_wait_ms(static_cast<std::uint32_t>(each.next_wait.count()));
    }
}

serving::permit_grants read(const wire::permit_grants& in) {
    serving::permit_grants out;
    for (const auto& each : in.grants()) {
        out.grants.push_back({{each.backend_id(), each.born()},
                              each.session(),
                              each.granted(),
                              duration{each.first_wait_ms()},
                              duration{each.next_wait_ms()}});
    }
    return out;
}

void write(const serving::origin_records& records, wire::stream_origins& out) {
    for (const auto& each : records.records) {
        auto& record = *out.add_records();
        record.set_stream(each.stream);
        record.set_service(each.origin.service);
        record.set_version(each.origin.version);
        record.set_age_ms(static_cast<std::uint32_t>(each.age.count()));
    }
}

/** Decodes origins of streams; those beyond the bound are left out. */
serving::origin_records read(const wire::stream_origins& in) {
    serving::origin_records out;
    for (int i = 0; i < std::min(in.records_size(), max_stream_origins); ++i) {
        const auto& each = in.records(i);
        out.records.push_back(
            {each.stream(), {each.service(), each.version()}, duration{each.age_ms()}});
    }
    return out;
}

/** Decodes a query for origins of streams; those beyond the bound are left out. */
serving::origin_query read(const wire::stream_origin_query& in) {
    const auto count = std::min(in.streams_size(), max_stream_origins);
    return {{in.streams().begin(), in.streams().begin() + count}};
}

void write(const serving::software_message& message, wire::software_history& out) {
    const auto& history = message.history;
    out.set_is_query(message.is_query);
    out.set_has_known_period(history.known.has_value());
    if (history.known) {
        out.set_known_from_age_ms(static_cast<std::uint64_t>(history.known->from_age.count()));
        out.set_known_until_age_ms(static_cast<std::uint64_t>(history.known->until_age.count()));
    }
    for (const auto& each : history.records) {
        auto& record = *out.add_records();
        record.set_service(each.service);
        record.set_version(each.version);
        record.set_age_ms(static_cast<std::uint64_t>(each.age.count()));
    }
}

/** Decodes software versions. A history with more records than the bound says of no period that it
    is complete, and neither does one whose period ends before it begins. */
serving::software_message read(const wire::software_history& in) {
    serving::software_message out;
    out.is_query = in.is_query();
    const auto from_age = read_age(in.known_from_age_ms());
    const auto until_age = read_age(in.known_until_age_ms());
    const bool is_period = until_age >= duration::zero() && from_age >= until_age;
    if (in.has_known_period() && is_period && in.records_size() <= max_software_records) {
        out.history.known = serving::known_period{from_age, until_age};
    }
    for (int i = 0; i < std::min(in.records_size(), max_software_records); ++i) {
        const auto& each = in.records(i);
        if (const auto age = read_age(each.age_ms()); age >= duration::zero()) {
            out.history.records.push_back({each.service(), each.version(), age});
        }
    }
    return out;
}

void write(const serving::crashing_parts_report& report, wire::gateway_report& out) {
    for (const auto& each : report.crashes) {
        auto& crash = *out.add_part_crashes();
        crash.set_backend_id(each.server.id);
        crash.set_born(each.server.started_at_ms);
        crash.mutable_parts()->Add(each.parts.begin(), each.parts.end());
    }
    for (const auto& each : report.starts) {
        auto& starts = *out.add_part_starts();
        starts.set_part(each.part);
        starts.set_before(each.before);
        starts.set_since(each.since);
    }
    for (const auto& each : report.alive) {
        auto& server = *out.add_alive_servers();
        server.set_backend_id(each.id);
        server.set_born(each.started_at_ms);
    }
}

/** Decodes what a report says of parts; what exceeds the bounds is left out. */
serving::crashing_parts_report read_parts(const wire::gateway_report& in) {
    serving::crashing_parts_report out;
    for (int i = 0; i < std::min(in.part_crashes_size(), max_part_crashes); ++i) {
        const auto& each = in.part_crashes(i);
        const auto count = std::min(each.parts_size(), max_parts_per_crash);
        out.crashes.push_back({{each.backend_id(), each.born()},
                               {each.parts().begin(), each.parts().begin() + count}});
    }
    for (int i = 0; i < std::min(in.part_starts_size(), max_part_starts); ++i) {
        const auto& each = in.part_starts(i);
        out.starts.push_back({each.part(), std::min(each.before(), max_starts_of_part),
                              std::min(each.since(), max_starts_of_part)});
    }
    for (int i = 0; i < std::min(in.alive_servers_size(), max_part_crashes); ++i) {
        out.alive.push_back({in.alive_servers(i).backend_id(), in.alive_servers(i).born()});
    }
    return out;
}

void write(const serving::evacuation_state& state, wire::evacuation_state& out) {
    for (const auto& each : state.data_centres) {
        out.add_data_centres(each);
    }
    out.set_revision(state.position.revision);
    out.set_era(state.position.era);
}

serving::evacuation_state read(const wire::evacuation_state& in) {
    return {{in.data_centres().begin(), in.data_centres().end()}, {in.era(), in.revision()}};
}

void write(const serving::account_reservation& reservation, wire::account_reservation& out) {
    out.set_account(reservation.account);
    out.set_fingerprint(reservation.fingerprint);
    out.set_due_in_ms(static_cast<std::uint32_t>(reservation.due_in.count()));
    out.set_cost(static_cast<std::uint32_t>(std::min(std::ceil(reservation.cost), max_cost)));
    out.set_urgency(static_cast<std::uint32_t>(std::max(reservation.urgency, 0)));
}

serving::account_reservation read(const wire::account_reservation& in) {
    return {in.account(), in.fingerprint(), read_age(in.due_in_ms()),
            static_cast<double>(in.cost()), static_cast<int>(std::min(in.urgency(), max_urgency))};
}

void write(const serving::speed_sample& sample, wire::speed_sample& out) {
    out.set_backend_id(sample.server.id);
    out.set_born(sample.server.started_at_ms);
    out.set_kind(static_cast<std::uint32_t>(sample.kind));
    out.set_count(sample.count);
    out.set_log2_ratio_sum_milli(
        static_cast<std::int32_t>(std::lround(sample.log2_ratio_sum * thousandths)));
}

/** Decodes measured speeds; those of a kind that only a later version knows are left out. */
std::vector<serving::speed_sample> read_speeds(const wire::gateway_report& in) {
    std::vector<serving::speed_sample> out;
    for (int i = 0; i < std::min(in.speeds_size(), max_speed_samples); ++i) {
        const auto& each = in.speeds(i);
        if (each.kind() < serving::speed_kind_count) {
            out.push_back({{each.backend_id(), each.born()},
                           static_cast<serving::speed_kind>(each.kind()),
                           each.count(),
                           static_cast<double>(each.log2_ratio_sum_milli()) / thousandths});
        }
    }
    return out;
}

void write(const gateway_report& report, wire::gateway_report& out) {
    for (const auto& [account, usage] : report.usage) {
        auto& count = *out.add_usage();
        count.set_account(account);
        count.set_admitted(usage.admitted);
        count.set_given_back(usage.credited);
    }
    for (const auto& each : report.crashes) {
        auto& mark = *out.add_crashes();
        mark.set_content(each.fingerprint);
        mark.set_backend_id(each.backend_id);
        mark.set_born(each.backend_started_at_ms);
    }
    for (const auto& each : report.gateways) {
        out.add_gateways(each);
    }
    out.set_catalogue_version(report.catalogue_version);
    out.set_store_age_ms(static_cast<std::uint64_t>(report.store_age.count()));
    out.set_process_age_ms(static_cast<std::uint64_t>(report.process_age.count()));
    for (const auto& [weights, version] : report.versions) {
        auto& adapter_version = *out.add_versions();
        adapter_version.set_weights(weights);
        adapter_version.set_version(version);
    }
    out.set_has_all_usage(report.has_all_usage);
    for (const auto& each : report.speeds) {
        write(each, *out.add_speeds());
    }
    for (const auto& each : report.reservations) {
        write(each, *out.add_reservations());
    }
    if (report.evacuations) {
        write(*report.evacuations, *out.mutable_evacuations());
    }
    if (report.checkpoint.position.revision > 0) {
        auto& checkpoint = *out.mutable_checkpoint();
        checkpoint.set_era(report.checkpoint.position.era);
        checkpoint.set_revision(report.checkpoint.position.revision);
        checkpoint.set_record_revision(report.checkpoint.record_revision);
    }
    for (const auto& each : report.avoided_servers) {
        auto& server = *out.add_troubles();
        server.set_backend_id(each.id);
        server.set_born(each.started_at_ms);
    }
    for (const auto& each : report.limits) {
        write(each, *out.add_limits());
    }
    write(report.parts, out);
}

gateway_report read(const wire::gateway_report& in) {
    gateway_report report;
    for (const auto& each : in.usage()) {
        report.usage[each.account()] = {each.admitted(), each.given_back()};
    }
    for (const auto& each : in.crashes()) {
        report.crashes.push_back({each.content(), each.backend_id(), each.born()});
    }
    report.gateways.assign(in.gateways().begin(), in.gateways().end());
    report.catalogue_version = in.catalogue_version();
    report.store_age = read_age(in.store_age_ms());
    report.process_age = read_age(in.process_age_ms());
    for (const auto& each : in.versions()) {
        report.versions[each.weights()] = each.version();
    }
    report.has_all_usage = in.has_all_usage();
    report.speeds = read_speeds(in);
    for (int i = 0; i < std::min(in.reservations_size(), max_reservations); ++i) {
        report.reservations.push_back(read(in.reservations(i)));
    }
    const bool has_evacuations =
        in.has_evacuations() && in.evacuations().data_centres_size() <= max_evacuated_data_centres;
    if (has_evacuations) {
        report.evacuations = read(in.evacuations());
    }
    report.checkpoint = {{in.checkpoint().era(), in.checkpoint().revision()},
                         in.checkpoint().record_revision()};
    for (const auto& each : in.troubles()) {
        report.avoided_servers.push_back({each.backend_id(), each.born()});
    }
    for (const auto& each : in.limits()) {
        if (!each.has_limit() || is_amount(each.limit_per_s())) {
            report.limits.push_back(read(each));
        }
    }
    report.parts = read_parts(in);
    return report;
}

void write(const report_bundle& bundle, wire::bundle& out) {
    for (const auto& each : bundle.reports) {
        auto& report = *out.add_reports();
        report.set_sender(each.sender);
        report.set_life(each.incarnation);
        report.set_sequence(each.sequence);
        report.set_kind(static_cast<std::uint32_t>(each.kind));
        report.set_datagram(each.datagram);
    }
    out.set_is_for_data_centre(bundle.is_for_data_centre);
}

report_bundle read(const wire::bundle& in) {
    report_bundle bundle;
    bundle.is_for_data_centre = in.is_for_data_centre();
    for (const auto& each : in.reports()) {
        const bool is_report = each.kind() == static_cast<std::uint32_t>(message_kind::engine) ||
                               each.kind() == static_cast<std::uint32_t>(message_kind::gateway);
        if (is_report) {
            bundle.reports.push_back({each.sender(), each.life(), each.sequence(),
                                      static_cast<message_kind>(each.kind()), each.datagram()});
        }
    }
    return bundle;
}

struct body_writer {
    wire::datagram& out;

    void operator()(const adapters::engine_demand& demand) { write(demand, *out.mutable_demand()); }
    void operator()(const engine_report& report) { write(report, *out.mutable_engine()); }
    void operator()(const gateway_report& report) { write(report, *out.mutable_gateway()); }
    void operator()(const report_bundle& bundle) { write(bundle, *out.mutable_bundle()); }
    void operator()(const serving::permit_requests& requests) {
        write(requests, *out.mutable_permit_requests());
    }
    void operator()(const serving::permit_grants& grants) {
        write(grants, *out.mutable_permit_grants());
    }
    void operator()(const serving::origin_records& records) {
        write(records, *out.mutable_stream_origins());
    }
    void operator()(const serving::origin_query& query) {
        out.mutable_stream_origin_query()->mutable_streams()->Add(query.streams.begin(),
                                                                  query.streams.end());
    }
    void operator()(const serving::software_message& message) {
        write(message, *out.mutable_software_history());
    }
};

} // namespace

std::string encode(const peer_message& message) {
    wire::datagram out;
    out.set_sender(message.sender);
    out.set_life(message.incarnation);
    out.set_sequence(message.sequence);
    out.set_data_centre(message.sender_attributes.data_centre);
    out.set_capacity(message.sender_attributes.capacity_millicores);
    out.set_grants_permits(message.sender_attributes.grants_permits);
    out.set_is_to_be_relayed(message.options.is_to_be_relayed);
    out.set_is_urgent(message.options.is_urgent);
    std::visit(body_writer{out}, message.body);
    return out.SerializeAsString();
}

std::optional<peer_message> decode(std::string_view bytes) {
    wire::datagram in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    peer_message message;
    message.sender = in.sender();
    message.incarnation = in.life();
    message.sequence = in.sequence();
    message.sender_attributes = {in.data_centre(), in.capacity(), in.grants_permits()};
    message.options = {in.is_to_be_relayed(), in.is_urgent()};
    switch (in.body_case()) {
    case wire::datagram::kDemand:
        if (!has_valid_amounts(in.demand())) {
            return std::nullopt;
        }
        message.body = read(in.demand());
        return message;
    case wire::datagram::kEngine:
        message.body = read(in.engine());
        return message;
    case wire::datagram::kGateway:
        message.body = read(in.gateway());
        return message;
    case wire::datagram::kBundle:
        message.body = read(in.bundle());
        return message;
    case wire::datagram::kPermitRequests:
        message.body = read(in.permit_requests());
        return message;
    case wire::datagram::kPermitGrants:
        message.body = read(in.permit_grants());
        return message;
    case wire::datagram::kStreamOrigins:
        message.body = read(in.stream_origins());
        return message;
    case wire::datagram::kStreamOriginQuery:
        message.body = read(in.stream_origin_query());
        return message;
    case wire::datagram::kSoftwareHistory:
        message.body = read(in.software_history());
        return message;
    case wire::datagram::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace camphorgrade::peering
