#include <node/kv_port.h>

namespace camphorgrade {

namespace {

constexpr std::size_t call_threads = 4;
constexpr std::size_t watch_threads = 6; // one for each service that may watch
constexpr std::size_t max_queued_calls = 1'000;

} // namespace

kv_port::kv_port(inbox& events, const etcd_client& client)
    : inbox_(events), client_(client), calls_(call_threads, max_queued_calls),
      watches_(watch_threads, max_queued_calls) {}

bool kv_port::carry_out(const effect& wanted) {
    const auto* call = std::get_if<call_kv>(&wanted);
    if (call == nullptr) {
        return false;
    }
    auto& pool = std::holds_alternative<kv_watch>(call->request) ? watches_ : calls_;
    const bool queued = pool.submit([this, asked = *call] {
        inbox_.post(kv_replied{asked.service, asked.id, client_.execute(asked.request)});
    });
    if (!queued) {
        inbox_.post(kv_replied{call->service, call->id, kv_failure{kv_failure_kind::not_applied}});
    }
    return true;
}

} // namespace camphorgrade
