#include <agent/fencing_service.h>

#include <charconv>

namespace camphorgrade::agent {

namespace {

constexpr duration retry_period{500};

enum call_kind : token { read_call = 1, write_call };

/** The value is "<number> <write id>"; anything else counts as number 0. */
std::uint64_t number_of(const std::string& value) {
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

std::string write_id_of(const std::string& value) {
    const auto space = value.find(' ');
    return space == std::string::npos ? std::string{} : value.substr(space + 1);
}

} // namespace

fencing_service::fencing_service(const std::string& backend_server, fencing_listener& listener)
    : key_("/camphorgrade/fencing/" + backend_server), listener_(listener) {}

void fencing_service::start(step& now) {
    write_id_ = now.self().value() + "/" + std::to_string(now.life().value());
    read(now);
}

void fencing_service::on_timer(token /*id*/, step& now) {
    if (!number_) {
        read(now);
    }
}

void fencing_service::on_kv_reply(token id, const kv_reply& reply, step& now) {
    if (number_) {
        return;
    }
    if (const auto* found = std::get_if<kv_range_result>(&reply); found && id == read_call) {
        take(*found, now);
        return;
    }
    const auto* written = std::get_if<kv_txn_result>(&reply);
    if (written != nullptr && written->succeeded && id == write_call) {
        number_ = placement::fencing_number{wanted_};
        listener_.on_fencing_number(*number_, now);
        return;
    }
    retry_later(now);
}

void fencing_service::read(step& now) {
    now.emit(call_kv{std::string(name()), read_call, kv_range{key_, ""}});
}

void fencing_service::take(const kv_range_result& found, step& now) {
    const bool exists = !found.entries.empty();
    const std::string value = exists ? found.entries.front().value : std::string{};
    if (write_id_of(value) == write_id_) {
        // Our own write, whose answer was lost.
        number_ = placement::fencing_number{number_of(value)};
        listener_.on_fencing_number(*number_, now);
        return;
    }
    wanted_ = number_of(value) + 1;
    const std::int64_t revision = exists ? found.entries.front().mod_revision : 0;
    const kv_put put{key_, std::to_string(wanted_) + " " + write_id_, 0};
    now.emit(call_kv{std::string(name()), write_call, kv_txn{{{key_, revision}}, {put}, {}}});
}

void fencing_service::retry_later(step& now) {
    now.emit(set_timer{std::string(name()), 1, now.time() + retry_period});
}

} // namespace camphorgrade::agent
