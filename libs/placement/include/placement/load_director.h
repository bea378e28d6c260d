#pragma once

#include <placement/load_ledger.h>

#include <kernel/service.h>

#include <map>
#include <optional>
#include <string_view>

namespace camphorgrade::placement {

/**
 * The service "load_director": grants loads of the weight store to agents. Every agent has one; it
 * works only while agents ask it, which they do while they choose it by hashing. Doubled directors
 * each keep the limit for those that ask them. Not thread safe.
 *
 * @code
 * kernel.add(std::make_unique<load_director>(store_limit{.loads_per_s = 4}));
 * @endcode
 */
class load_director final : public service {
public:
    static constexpr std::string_view service_name = "load_director";

    explicit load_director(store_limit limit);

    /** The limit that the operators' text states from now on. */
    void set_limit(store_limit limit);

    std::string_view name() const noexcept override { return service_name; }
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;

private:
    struct last_request {
        incarnation life;
        std::uint64_t sequence = 0;
        friend auto operator<=>(const last_request&, const last_request&) = default;
    };

    void give(step& now);

    store_limit limit_;
    std::optional<load_ledger> ledger_; /**< Made at the first request. */
    std::map<node_id, last_request> last_;
    time_point armed_for_;
    bool armed_ = false;
};

} // namespace camphorgrade::placement
