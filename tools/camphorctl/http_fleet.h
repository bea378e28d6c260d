#pragma once

#include "fleet.h"

#include <http/http_client.h>

namespace camphorgrade::ctl {

/** The daemons' operators' ports over HTTP. */
class http_fleet final : public fleet {
public:
    std::optional<process_report> ask(const std::string& address) override;
    bool withdraw_key(const std::string& address, const std::string& id) override;
    void pause() override;

private:
    /** The body of a 200 answer. */
    std::optional<std::string> call(const std::string& address, const std::string& method,
                                    const std::string& path) const;

    http_client client_;
};

} // namespace camphorgrade::ctl
