#include <standins/service_standin.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

#include <unistd.h>

namespace camphorgrade::standins {

using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int created = 201;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int crash_exit_code = 70;
constexpr std::string_view bookings_prefix = "/bookings/";

} // namespace

service_standin::service_standin(service_faults faults) : faults_(std::move(faults)), host_(*this) {
    if (!faults_.crash) {
        faults_.crash = [] { ::_exit(crash_exit_code); };
    }
}

void service_standin::handle(standin_call call) {
    authorization_headers_ += count_headers(call.request.headers, "Authorization");
    const std::string route = call.request.method + " " + call.request.path;
    if (route == "POST /bookings") {
        create_booking(std::move(call));
    } else if (route.starts_with("GET " + std::string(bookings_prefix))) {
        read_booking(call);
    } else if (route == "GET /control/counts") {
        respond_counts(call);
    } else if (route == "POST /control/faults") {
        set_faults(call);
    } else {
        call.writer->respond(json_response(not_found, {{"message", "no such route"}}));
    }
}

void service_standin::create_booking(standin_call call) {
    const json body = json_body(call.request);
    const auto id = body.find("id");
    if (id == body.end() || !id->is_string()) {
        call.writer->respond(json_response(bad_request, {{"message", "a booking needs an id"}}));
        return;
    }
    const std::size_t run = ++runs_[id->get<std::string>()];
    ++total_runs_;
    if (total_runs_ == faults_.crash_after_runs) {
        faults_.crash();
    }
    if (faults_.drop_next_responses > 0) {
        --faults_.drop_next_responses;
        return;
    }
    const auto pending = std::make_shared<standin_call>(std::move(call));
    host_.loop().post(
        [pending, response = json{{"id", *id}, {"run", run}}] {
            pending->writer->respond(json_response(created, response));
        },
        faults_.delay);
}

void service_standin::read_booking(const standin_call& call) const {
    const std::string id = call.request.path.substr(bookings_prefix.size());
    const auto found = runs_.find(id);
    const bool exists = found != runs_.end();
    call.writer->respond(
        json_response(exists ? ok : not_found, {{"id", id}, {"runs", exists ? found->second : 0}}));
}

void service_standin::set_faults(const standin_call& call) {
    const json requested = json_body(call.request);
    faults_.delay = duration(
        unsigned_field(requested, "delay_ms", static_cast<std::size_t>(faults_.delay.count())));
    faults_.drop_next_responses =
        unsigned_field(requested, "lose_next_answers", faults_.drop_next_responses);
    faults_.crash_after_runs =
        unsigned_field(requested, "crash_after_runs", faults_.crash_after_runs);
    call.writer->respond(json_response(ok, json::object()));
}

void service_standin::respond_counts(const standin_call& call) const {
    call.writer->respond(json_response(ok, {{"runs", runs_},
                                            {"total", total_runs_},
                                            {"authorization_headers", authorization_headers_}}));
}

} // namespace camphorgrade::standins
