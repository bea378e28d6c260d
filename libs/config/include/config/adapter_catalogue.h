#pragma once

#include <config/adapter.h>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/**
 * All adapters of an operators' text, in name order; made for a hundred thousand and more.
 * Immutable; all functions are thread safe.
 *
 * @code
 * if (const auto adapter = catalogue.find("concert-hall")) { use(adapter->default_version); }
 * @endcode
 */
class adapter_catalogue {
public:
    adapter_catalogue() = default;

    /** Precondition: names are unique. Takes any order. */
    explicit adapter_catalogue(std::vector<adapter_spec> adapters);

    std::size_t size() const noexcept { return adapters_.size(); }

    /** The adapter of that name. Takes logarithmic time. */
    std::optional<adapter_spec> find(std::string_view name) const;

    /** Resolves "name" to its default version, "name@version" to that version if it exists. */
    std::optional<adapter_ref> resolve(std::string_view spelled) const;

    /** Calls `visit` for each adapter in name order. */
    void for_each(const std::function<void(const adapter_spec&)>& visit) const;

    friend bool operator==(const adapter_catalogue&, const adapter_catalogue&) = default;

private:
    std::vector<adapter_spec> adapters_;
};

} // namespace camphorgrade::config
