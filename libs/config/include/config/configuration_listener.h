#pragma once

#include <config/operators_text.h>

#include <kernel/step.h>

#include <cstdint>

namespace camphorgrade::config {

/** Told when another text comes into force in this process. */
class configuration_listener {
public:
    virtual ~configuration_listener() = default;

    /**
     * `text` is in force from now on; the reference holds until the next call. `revision` is
     * higher than in every call before. Called from the kernel's thread.
     */
    virtual void configuration_changed(const operators_text& text, std::uint64_t revision,
                                       step& now) = 0;
};

} // namespace camphorgrade::config
