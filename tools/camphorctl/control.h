#pragma once

#include "exit_code.h"
#include "fleet.h"
#include "request.h"

#include <config/kv_access.h>
#include <config/operators_text.h>
#include <config/text_store.h>
#include <keys/key_registry.h>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace camphorgrade::ctl {

/** What the commands act on. */
struct surroundings {
    config::kv_access* store = nullptr;
    fleet* processes = nullptr;
    std::function<keys::key_material()> draw_key;
    std::function<config::apply_id()> draw_apply_id;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/**
 * The operators' commands, without the process around them. Not thread safe.
 *
 * @code
 * return static_cast<int>(control(around).run(asked));
 * @endcode
 */
class control {
public:
    /** Precondition: all members of `around` are set and outlive this object. */
    explicit control(surroundings around);

    exit_code run(const request& asked);

private:
    exit_code check(const request& asked);
    exit_code show();
    exit_code diff(const request& asked);
    exit_code apply(const request& asked);
    exit_code status(const request& asked);
    exit_code key(const request& asked);
    exit_code give_key(const std::string& account);
    exit_code list_keys();
    exit_code withdraw_key(const request& asked, const std::string& id);

    exit_code wait_for(std::uint64_t revision, const request& asked);
    std::optional<std::string> read_file(const std::string& path);
    std::optional<config::operators_text> read_text(const std::string& path, std::string& yaml);
    exit_code explain(config::store_fault fault);
    exit_code explain(keys::registry_fault fault);

    surroundings around_;
    std::ostream& out_;
    std::ostream& err_;
};

} // namespace camphorgrade::ctl
