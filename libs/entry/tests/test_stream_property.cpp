#include "stream_oracle.h"
#include "stream_player.h"
#include "stream_script.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using namespace camphorgrade::entry::stream_test;

namespace {

constexpr std::size_t min_attempts = 2;
constexpr std::size_t max_attempts = 4;

rc::Gen<attempt_script> any_attempt() {
    namespace gen = rc::gen;
    return gen::build<attempt_script>(
        gen::set(&attempt_script::reply,
                 gen::weightedElement<reply_kind>({{8, reply_kind::run},
                                                   {1, reply_kind::unsealed_run},
                                                   {1, reply_kind::error},
                                                   {2, reply_kind::refusal}})),
        gen::set(&attempt_script::framing, gen::element(body_framing::chunked, body_framing::length,
                                                        body_framing::until_close)),
        gen::set(&attempt_script::ids, gen::weightedElement<id_style>({{7, id_style::rising},
                                                                       {1, id_style::missing},
                                                                       {1, id_style::non_numeric},
                                                                       {1, id_style::falling}})),
        gen::set(&attempt_script::lines,
                 gen::weightedElement<line_end>({{9, line_end::lf}, {1, line_end::crlf}})),
        gen::set(&attempt_script::close,
                 gen::element(close_style::orderly, close_style::reset, close_style::crash)),
        gen::set(&attempt_script::type,
                 gen::weightedElement<type_style>({{6, type_style::usual},
                                                   {1, type_style::other_case},
                                                   {1, type_style::second_line},
                                                   {1, type_style::missing}})),
        gen::set(&attempt_script::error_status, gen::element(500, 404, 503)),
        gen::set(&attempt_script::refusal_status, gen::element(503, 408, 421, 429)),
        gen::set(&attempt_script::events, gen::inRange<std::size_t>(0, 5)),
        gen::set(&attempt_script::ignores_position,
                 gen::weightedElement<bool>({{3, false}, {1, true}})),
        gen::set(&attempt_script::has_open_end,
                 gen::weightedElement<bool>({{5, false}, {1, true}})),
        gen::set(&attempt_script::missing_bytes,
                 gen::weightedOneOf<std::size_t>({{2, gen::just(std::size_t{0})},
                                                  {2, gen::inRange<std::size_t>(0, 40)},
                                                  {3, gen::inRange<std::size_t>(0, 400)}})),
        gen::set(&attempt_script::fragment_bytes, gen::element<std::size_t>(0, 1, 2, 3, 7, 16, 61)),
        gen::set(&attempt_script::chunk_bytes, gen::element<std::size_t>(64, 1, 2, 15, 33)));
}

rc::Gen<request_script> any_request() {
    namespace gen = rc::gen;
    const auto attempts =
        gen::mapcat(gen::inRange(min_attempts, max_attempts + 1), [](std::size_t count) {
            return gen::container<std::vector<attempt_script>>(count, any_attempt());
        });
    return gen::build<request_script>(
        gen::set(&request_script::kind, gen::weightedElement<serving::request_kind>(
                                            {{4, serving::request_kind::streaming},
                                             {1, serving::request_kind::idempotent},
                                             {1, serving::request_kind::non_idempotent}})),
        gen::set(&request_script::is_resumable,
                 gen::weightedElement<bool>({{4, true}, {1, false}})),
        gen::set(&request_script::is_event_stream,
                 gen::weightedElement<bool>({{4, true}, {1, false}})),
        gen::set(&request_script::caller_position,
                 gen::weightedElement<std::optional<std::uint64_t>>({{3, std::nullopt}, {1, 5}})),
        gen::set(&request_script::attempts, attempts));
}

played_request play(const request_script& script) {
    played_request out;
    out.script = script;
    stream_player player({script.kind, script.is_resumable,
                          static_cast<std::uint32_t>(script.attempts.size()),
                          script.caller_position});
    out.seen = player.play([&](std::string_view request_head) {
        if (out.runs.size() == script.attempts.size()) {
            return wire_script{}; // every server has been used
        }
        out.runs.push_back(
            make_response_of(script, out.runs.size(), number_after(request_head, "X-After: ")));
        const auto& made = out.runs.back();
        wire_script wire;
        wire.bytes = made.wire.substr(0, made.sent_bytes);
        if (made.script.fragment_bytes > 0) {
            wire.fragments = {made.script.fragment_bytes};
        }
        wire.is_reset = made.script.close == close_style::reset;
        wire.is_crash = made.script.close == close_style::crash;
        return wire;
    });
    return out;
}

} // namespace

TEST_CASE("a caller gets whole events and responses of runs, whatever the servers send") {
    rc::prop("for any responses of two to four attempts", [] {
        const auto script = *rc::gen::resize(rc::kNominalSize, any_request()).as("request");
        const auto played = play(script);
        const auto broken = check(played);
        RC_LOG() << "broken rule: " << to_string(broken) << "\ncaller: status "
                 << played.seen.status << ", finished " << played.seen.is_finished << ", aborted "
                 << played.seen.is_aborted << ", body:\n"
                 << played.seen.body << '\n';
        for (const auto& each : played.runs) {
            RC_LOG() << "sent " << each.sent_bytes << " of:\n" << each.wire << "<end>\n";
        }
        RC_CLASSIFY(played.runs.size() > 1, "two attempts or more");
        RC_CLASSIFY(played.seen.is_finished && !played.seen.is_answer, "finished stream");
        RC_CLASSIFY(played.seen.is_aborted, "aborted");
        RC_ASSERT(broken == violation::none);
    });
}
