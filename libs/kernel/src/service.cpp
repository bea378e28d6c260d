#include <kernel/service.h>

namespace camphorgrade {

// A handler that a service does not override ignores its event.

void service::attach(micro_kernel& /*kernel*/) {}
void service::start(step& /*now*/) {}
void service::on_message(const message& /*received*/, step& /*now*/) {}
void service::on_timer(token /*id*/, step& /*now*/) {}
void service::on_kv_reply(token /*id*/, const kv_reply& /*reply*/, step& /*now*/) {}
void service::on_caller(const caller_arrived& /*arrived*/, step& /*now*/) {}
void service::on_caller_gone(request_id /*request*/, step& /*now*/) {}
void service::on_call(call_id /*call*/, const call_progress& /*progress*/, step& /*now*/) {}
void service::on_shutdown(step& /*now*/) {}

} // namespace camphorgrade
