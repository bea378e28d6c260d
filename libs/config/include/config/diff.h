#pragma once

#include <config/operators_text.h>

#include <string>
#include <vector>

namespace camphorgrade::config {

/** Part of a text that a change belongs to. */
enum class text_part {
    deployment,
    weigh,
    store,
    requests,
    client_account,
    model,
    adapter,
    service,
    backend_server
};

enum class change_kind { added, removed, changed };

/** One difference between two texts. `name` is empty for parts that exist once. */
struct text_change {
    text_part part = text_part::deployment;
    change_kind kind = change_kind::changed;
    std::string name;

    friend bool operator==(const text_change&, const text_change&) = default;
};

/** What has to be done to `from` to get `to`; empty exactly when they are equal. Thread safe. */
std::vector<text_change> diff(const operators_text& from, const operators_text& to);

/** Such as "changed service soil-files". Thread safe. */
std::string to_string(const text_change& change);

} // namespace camphorgrade::config
