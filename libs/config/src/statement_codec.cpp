#include "statement_codec.h"

#include "unknown_fields.h"
#include "yaml_reader.h"

#include <wire/config.pb.h>

#include <xxhash.h>

#include <algorithm>

namespace camphorgrade::config {
namespace {

constexpr std::uint64_t mean_piece_items = 32;
constexpr std::size_t target_piece_bytes = max_chunk_bytes / 4;

void write(const operators_statement& from, wire::deployment_entry& to) {
    to.set_name(from.deployment);
    to.set_weigh(static_cast<std::uint32_t>(from.weigh));
    to.set_loads_per_s(from.store.loads_per_s);
    to.set_load_ms(from.store.load_time.count());
    to.set_parallel_loads(from.store.parallel_loads);
    to.set_max_body_bytes(from.requests.max_body_bytes);
    to.set_max_tokens(from.requests.max_tokens);
    to.set_default_max_tokens(from.requests.default_max_tokens);
    to.set_record_retention_ms(from.requests.record_retention.count());
}

void write(const client_account_spec& from, wire::client_account_entry& to) {
    to.set_name(from.name);
    to.set_rate_tokens_per_s(from.rate_tokens_per_s);
    to.set_burst_tokens(from.burst_tokens);
}

void write(const service_spec& from, wire::service_entry& to) {
    to.set_name(from.name);
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_model(from.model);
    to.set_some_adapters(!from.all_adapters);
    for (const std::string& adapter : from.adapters) {
        to.add_adapters(adapter);
    }
    for (const dependency& needed : from.depends_on) {
        wire::dependency_entry& entry = *to.add_depends_on();
        entry.set_kind(static_cast<std::uint32_t>(needed.kind));
        entry.set_name(needed.name);
    }
    to.set_access(static_cast<std::uint32_t>(from.access));
    for (const route_rule& rule : from.not_repeatable) {
        wire::route_entry& entry = *to.add_not_repeatable();
        entry.set_method(rule.method);
        entry.set_path_prefix(rule.path_prefix);
    }
    to.set_cost_tokens(from.cost_tokens);
    to.set_request_timeout_ms(from.request_timeout.count());
}

void write(const backend_server_spec& from, wire::backend_server_entry& to) {
    to.set_name(from.name);
    to.set_address(from.address);
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_model(from.model);
    for (const std::string& service : from.services) {
        to.add_services(service);
    }
    to.set_slots(from.slots);
    to.set_data_centre(from.data_centre);
    to.set_checks_fencing(from.checks_fencing);
    to.set_checks_caller(from.checks_caller);
}

/** Collects items and closes a piece where a hash of the next item's name says so. */
class piece_cutter {
public:
    wire::statement_part& next(const std::string& name) {
        const bool begins = XXH64(name.data(), name.size(), 0) % mean_piece_items == 0;
        if (begins || bytes_ > target_piece_bytes) {
            close();
        }
        return part_;
    }

    void added(const google::protobuf::Message& item) { bytes_ += item.ByteSizeLong(); }

    std::vector<std::string> finish() {
        close();
        return std::move(pieces_);
    }

private:
    void close() {
        std::string piece = part_.SerializeAsString();
        if (!piece.empty()) {
            pieces_.push_back(std::move(piece));
        }
        part_.Clear();
        bytes_ = 0;
    }

    wire::statement_part part_;
    std::size_t bytes_ = 0;
    std::vector<std::string> pieces_;
};

/** Whether an enumeration has this value; the highest one is given. */
template <typename T>
bool read_enum(std::uint32_t from, T highest, T& to) {
    to = static_cast<T>(from);
    return from <= static_cast<std::uint32_t>(highest);
}

bool read(const wire::deployment_entry& from, operators_statement& to) {
    to.deployment = from.name();
    to.store = {from.loads_per_s(), duration{from.load_ms()}, from.parallel_loads()};
    to.requests = {from.max_body_bytes(), from.max_tokens(), from.default_max_tokens(),
                   duration{from.record_retention_ms()}};
    return read_enum(from.weigh(), deployment_weight::fairness, to.weigh) &&
           !has_unknown_fields(from);
}

bool read(const wire::service_entry& from, service_spec& to) {
    to.name = from.name();
    to.model = from.model();
    to.all_adapters = !from.some_adapters();
    to.adapters.assign(from.adapters().begin(), from.adapters().end());
    to.cost_tokens = from.cost_tokens();
    to.request_timeout = duration{from.request_timeout_ms()};
    bool known = !has_unknown_fields(from) &&
                 read_enum(from.kind(), service_kind::plain, to.kind) &&
                 read_enum(from.access(), service_access::open, to.access);
    for (const wire::dependency_entry& entry : from.depends_on()) {
        dependency needed{dependency_kind::service, entry.name()};
        known = known && !has_unknown_fields(entry) &&
                read_enum(entry.kind(), dependency_kind::adapter, needed.kind);
        to.depends_on.push_back(std::move(needed));
    }
    for (const wire::route_entry& entry : from.not_repeatable()) {
        known = known && !has_unknown_fields(entry);
        to.not_repeatable.push_back({entry.method(), entry.path_prefix()});
    }
    return known;
}

bool read(const wire::backend_server_entry& from, backend_server_spec& to) {
    to.name = from.name();
    to.address = from.address();
    to.model = from.model();
    to.services.assign(from.services().begin(), from.services().end());
    to.slots = from.slots();
    to.data_centre = from.data_centre();
    to.checks_fencing = from.checks_fencing();
    to.checks_caller = from.checks_caller();
    return !has_unknown_fields(from) && read_enum(from.kind(), backend_kind::plain, to.kind);
}

bool read(const wire::statement_part& from, operators_statement& to) {
    bool known = !has_unknown_fields(from) && read(from.deployment(), to);
    for (const std::string& name : from.models()) {
        to.models.push_back({name});
    }
    for (const wire::client_account_entry& entry : from.client_accounts()) {
        known = known && !has_unknown_fields(entry);
        to.client_accounts.push_back(
            {entry.name(), entry.rate_tokens_per_s(), entry.burst_tokens()});
    }
    for (const wire::service_entry& entry : from.services()) {
        known = read(entry, to.services.emplace_back()) && known;
    }
    for (const wire::backend_server_entry& entry : from.backend_servers()) {
        known = read(entry, to.backend_servers.emplace_back()) && known;
    }
    return known;
}

/** Whether numbers and addresses are such as the YAML parser lets through. */
bool plausible(const operators_statement& statement) {
    const auto& store = statement.store;
    const auto& requests = statement.requests;
    const duration none{0};
    return is_name(statement.deployment) && store.loads_per_s > 0 && store.load_time > none &&
           store.parallel_loads > 0 && requests.max_body_bytes > 0 &&
           requests.default_max_tokens > 0 && requests.record_retention > none &&
           std::ranges::all_of(statement.client_accounts,
                               [](const client_account_spec& each) {
                                   return each.rate_tokens_per_s > 0 && each.burst_tokens > 0;
                               }) &&
           std::ranges::all_of(
               statement.services,
               [&](const service_spec& each) { return each.request_timeout > none; }) &&
           std::ranges::all_of(statement.backend_servers, [](const backend_server_spec& each) {
               return is_address(each.address) && is_name(each.data_centre) &&
                      (each.kind == backend_kind::plain || each.slots > 0);
           });
}

} // namespace

std::vector<std::string> cut_statement(const operators_statement& statement) {
    piece_cutter cutter;
    write(statement, *cutter.next("").mutable_deployment());
    for (const model_spec& each : statement.models) {
        cutter.next(each.name).add_models(each.name);
    }
    const auto cut = [&](const auto& items, auto add) {
        for (const auto& each : items) {
            auto& entry = *add(cutter.next(each.name));
            write(each, entry);
            cutter.added(entry);
        }
    };
    cut(statement.client_accounts, [](auto& part) { return part.add_client_accounts(); });
    cut(statement.services, [](auto& part) { return part.add_services(); });
    cut(statement.backend_servers, [](auto& part) { return part.add_backend_servers(); });
    return cutter.finish();
}

std::variant<operators_statement, assembly_fault> join_statement(const std::string& pieces) {
    wire::statement_part whole;
    if (!whole.ParseFromString(pieces) || !whole.has_deployment()) {
        return assembly_fault::malformed_chunk;
    }
    operators_statement statement;
    if (!read(whole, statement)) {
        return assembly_fault::newer_format;
    }
    if (!plausible(statement)) {
        return assembly_fault::malformed_chunk;
    }
    return statement;
}

} // namespace camphorgrade::config
