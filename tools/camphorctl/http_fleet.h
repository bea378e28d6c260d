#pragma once

#include "fleet.h"

#include <http/http_client.h>

#include <string>
#include <utility>

namespace camphorgrade::ctl {

/** The daemons' operators' ports over HTTP. */
class http_fleet final : public fleet {
public:
    /** `token` is the credential for commands; empty sends none. */
    explicit http_fleet(std::string token) : token_(std::move(token)) {}

    std::optional<process_report> ask(const std::string& address) override;
    bool withdraw_key(const std::string& address, const std::string& id) override;
    void pause() override;

private:
    /** The body of a 200 answer. */
    std::optional<std::string> call(const std::string& address, const std::string& method,
                                    const std::string& path) const;

    std::string token_;
    http_client client_;
};

} // namespace camphorgrade::ctl
