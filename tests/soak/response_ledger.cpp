#include "response_ledger.h"

#include <algorithm>
#include <numeric>

namespace camphorgrade::soak {

namespace {

constexpr int service_lines = 20;
constexpr std::string_view event_end = "\n\n";

/** The seal within an event that stream_event() made, empty if there is none. */
std::string seal_of(std::string_view event) {
    constexpr std::string_view field = "\ndata: ";
    const auto begin = event.find(field);
    const auto end = event.find(" part ");
    if (begin == std::string_view::npos || end == std::string_view::npos || end < begin) {
        return {};
    }
    return std::string(event.substr(begin + field.size(), end - begin - field.size()));
}

/** The server within a seal, which is "request.server.run". */
std::string_view server_of(std::string_view seal) {
    const auto begin = seal.find('.');
    const auto end = seal.rfind('.');
    return begin == end ? std::string_view{} : seal.substr(begin + 1, end - begin - 1);
}

std::string shortened(std::string_view text) {
    constexpr std::size_t shown_bytes = 120;
    std::string out;
    for (const char each : text.substr(0, shown_bytes)) {
        out += each == '\n' ? "\\n" : each == '\r' ? "\\r" : std::string(1, each);
    }
    return '"' + out + '"';
}

} // namespace

std::string software_version_of(std::string_view server_id) {
    const auto sum = std::accumulate(server_id.begin(), server_id.end(), 0U);
    return sum % 2 == 0 ? "v1" : "v2";
}

std::string service_response_body(const std::string& seal) {
    std::string out;
    for (int i = 0; i < service_lines; ++i) {
        out += seal + " line " + std::to_string(i) + '\n';
    }
    return out;
}

std::string stream_event(const std::string& seal, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + seal + " part " + std::to_string(number) +
           std::string(event_end);
}

void response_ledger::on_begin(const std::string& request, const std::string& seal) {
    runs_[seal];
    requests_[request].insert(seal);
}

void response_ledger::on_body(const std::string& seal, std::string_view bytes) {
    runs_[seal].body += bytes;
}

void response_ledger::on_omitted_event(const std::string& seal, int number) {
    runs_[seal].omitted_events.insert(number);
}

void response_ledger::on_end(const std::string& seal, response_end end) {
    auto& run = runs_[seal];
    run.end = run.end == response_end::open ? end : run.end;
}

bool response_ledger::is_response_of(const std::string& request, const std::string& seal) const {
    const auto found = requests_.find(request);
    return found != requests_.end() && found->second.contains(seal);
}

std::optional<std::string> response_ledger::check_plain(const std::string& request,
                                                        const std::string& seal,
                                                        const std::string& body,
                                                        bool is_complete) const {
    if (!is_response_of(request, seal)) {
        return "no run made the seal " + shortened(seal);
    }
    const auto& run = runs_.at(seal);
    if (!run.body.starts_with(body)) {
        const auto differs = static_cast<std::size_t>(
            std::mismatch(body.begin(), body.end(), run.body.begin(), run.body.end()).first -
            body.begin());
        return "differs at byte " + std::to_string(differs) + ": " +
               shortened(std::string_view(body).substr(differs));
    }
    const bool may_be_complete =
        run.end == response_end::complete || run.end == response_end::closed_early;
    if (is_complete && (!may_be_complete || body.size() != run.body.size())) {
        return "looks complete with " + std::to_string(body.size()) + " of " +
               std::to_string(run.body.size()) + " bytes, end " +
               std::to_string(static_cast<int>(run.end));
    }
    return std::nullopt;
}

std::optional<std::string> response_ledger::check_stream(const std::string& request,
                                                         const std::string& body,
                                                         bool is_complete) const {
    std::string_view rest = body;
    std::string last_event;
    std::string version;
    int last_number = 0;
    while (rest.find(event_end) != std::string_view::npos) {
        const auto event = rest.substr(0, rest.find(event_end) + event_end.size());
        const auto seal = seal_of(event);
        int number = last_number + 1;
        while (number < stream_event_count && is_omitted(request, number) &&
               event != stream_event(seal, number)) {
            ++number;
        }
        if (!is_response_of(request, seal) || event != stream_event(seal, number)) {
            return "after event " + std::to_string(last_number) + ": " + shortened(event);
        }
        const auto event_version = software_version_of(server_of(seal));
        if (!version.empty() && event_version != version) {
            return "another software version after event " + std::to_string(last_number);
        }
        version = event_version;
        last_number = number;
        last_event = event;
        rest.remove_prefix(event.size());
    }
    if (!is_complete) {
        return rest.empty() || begins_any_event(request, rest, last_number)
                   ? std::nullopt
                   : std::optional("ends with " + shortened(rest));
    }
    const bool may_end = last_number == stream_event_count || ends_any_run(request, last_event);
    if (!rest.empty() || !may_end) {
        return "looks complete after event " + std::to_string(last_number) + ", rest " +
               shortened(rest);
    }
    return std::nullopt;
}

bool response_ledger::is_omitted(const std::string& request, int number) const {
    const auto found = requests_.find(request);
    return found != requests_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const std::string& seal) {
               return runs_.at(seal).omitted_events.contains(number);
           });
}

bool response_ledger::ends_any_run(const std::string& request, const std::string& event) const {
    const auto found = requests_.find(request);
    return found != requests_.end() && !event.empty() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const std::string& seal) {
               const auto& run = runs_.at(seal);
               return run.end == response_end::closed_early && run.body.ends_with(event);
           });
}

bool response_ledger::begins_any_event(const std::string& request, std::string_view text,
                                       int number) const {
    const auto found = requests_.find(request);
    return found != requests_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const std::string& seal) {
               for (int next = number + 1; next <= stream_event_count; ++next) {
                   if (stream_event(seal, next).starts_with(text)) {
                       return true;
                   }
               }
               return false;
           });
}

} // namespace camphorgrade::soak
