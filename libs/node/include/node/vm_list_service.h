#pragma once

#include <kernel/service.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade {

/** Is told which VMs the platform lists as leaving. */
class vm_list_listener {
public:
    virtual ~vm_list_listener() = default;

    /** The set differs from before. Items are as the platform writes them: "IP" or "IP:port". */
    virtual void on_leaving_vms(const std::set<std::string>& leaving, step& now) = 0;
};

/** The leaving VMs in the platform's list; nullopt when it is malformed. Thread safe. */
std::optional<std::set<std::string>> parse_leaving_vms(const std::string& body);

/** Whether a list of VMs names this node, by its address or by its IP. Thread safe. */
bool names_node(const std::set<std::string>& vms, const node_id& node);

/**
 * The service "vm_list": polls the platform's list of VMs, starts the graceful shutdown when this
 * process's VM is leaving, and tells listeners about others. A list that can't be read changes
 * nothing. Not thread safe.
 */
class vm_list_service final : public service {
public:
    /** `endpoint` is "IP:port"; without one the service does nothing. */
    explicit vm_list_service(std::optional<std::string> endpoint);

    std::string_view name() const noexcept override { return "vm_list"; }
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void on_call(call_id call, const call_progress& progress, step& now) override;

    /** Adds a listener. Precondition: it outlives the service. */
    void add_listener(vm_list_listener& listener) { listeners_.push_back(&listener); }

private:
    void ask(step& now);
    void take(const std::string& body, step& now);

    std::optional<std::string> endpoint_;
    std::vector<vm_list_listener*> listeners_;
    std::set<std::string> leaving_;
    std::uint64_t last_call_ = 0;
    int status_ = 0;
    std::string body_;
    bool told_to_leave_ = false;
};

} // namespace camphorgrade
