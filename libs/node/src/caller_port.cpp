#include <node/caller_port.h>

#include <kernel/check.h>

#include <utility>

namespace camphorgrade {

namespace {

constexpr std::uint64_t most_ports = 16;
constexpr unsigned number_shift = 60; // the top bits name the port, the rest count its requests

} // namespace

caller_port::caller_port(inbox& events, std::string service, std::uint64_t number)
    : inbox_(events), service_(std::move(service)), number_(number) {
    CAMPHOR_PRECONDITION(number < most_ports);
}

request_id caller_port::number_of(exchange_id id) const {
    return request_id{(number_ << number_shift) | id.value()};
}

void caller_port::on_request(exchange_id id, http_request request,
                             std::unique_ptr<response_writer> writer) {
    const request_id number = number_of(id);
    {
        const std::lock_guard lock(mutex_);
        open_[number].writer = std::move(writer);
    }
    inbox_.post(caller_arrived{service_, number, std::move(request)});
}

void caller_port::on_caller_lost(exchange_id id, caller_loss /*why*/) {
    const request_id number = number_of(id);
    std::unique_ptr<response_writer> dropped;
    {
        const std::lock_guard lock(mutex_);
        const auto found = open_.find(number);
        if (found == open_.end()) {
            return;
        }
        dropped = std::move(found->second.writer);
        open_.erase(found);
    }
    inbox_.post(caller_gone{service_, number});
}

bool caller_port::carry_out(const effect& wanted) {
    const auto* answered = std::get_if<answer_caller>(&wanted);
    if (answered == nullptr || answered->request.value() >> number_shift != number_) {
        return false;
    }
    exchange closed; // destroyed after the lock is released
    const std::lock_guard lock(mutex_);
    const auto found = open_.find(answered->request);
    if (found == open_.end()) {
        return true; // the caller has gone
    }
    answer(found->second, answered->part);
    const bool over = std::holds_alternative<http_end>(answered->part) ||
                      std::holds_alternative<call_failure>(answered->part);
    if (over) {
        closed = std::move(found->second);
        open_.erase(found);
    }
    return true;
}

void caller_port::answer(exchange& open, const call_progress& part) {
    if (const auto* head = std::get_if<http_head>(&part)) {
        open.holding = find_header(head->headers, "Content-Length").has_value();
        if (open.holding) {
            open.held_head = *head;
        } else {
            open.writer->start(*head);
        }
    } else if (const auto* chunk = std::get_if<http_chunk>(&part)) {
        if (open.holding) {
            open.held_body += chunk->bytes;
        } else {
            open.writer->chunk(chunk->bytes);
        }
    } else if (std::holds_alternative<http_end>(part)) {
        finish(open);
    }
    // A failure drops the writer, which cuts the connection.
}

void caller_port::finish(exchange& open) {
    if (!open.holding) {
        open.writer->end();
        return;
    }
    std::erase_if(open.held_head.headers, [](const http_header& each) {
        return find_header({each}, "Content-Length").has_value(); // the server writes its own
    });
    open.writer->respond({std::move(open.held_head), std::move(open.held_body)});
}

} // namespace camphorgrade
