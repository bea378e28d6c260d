#include "fault_schedule.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace camphorgrade::soak {

duration between(random_source& random, duration shortest, duration longest) {
    const auto span = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest + duration{static_cast<duration::rep>(random.below(span))};
}

fault_schedule::fault_schedule(boost::asio::io_context& loop, const clock& clock, soak_world& world,
                               std::uint64_t seed, std::vector<std::string>& journal)
    : loop_(loop), clock_(clock), world_(world), random_(seed), journal_(journal),
      began_(clock.now()) {}

void fault_schedule::inject() {
    switch (random_.below(8)) {
    case 0:
    case 1:
        process_fault();
        break;
    case 2:
    case 3:
        link_fault();
        break;
    case 4:
        store_fault();
        break;
    case 5:
    case 6:
        backend_fault();
        break;
    default:
        operators_change();
        break;
    }
}

void fault_schedule::note(const std::string& what) {
    journal_.push_back(std::to_string((clock_.now() - began_).count()) + " ms " + what);
}

void fault_schedule::later(duration after, std::function<void()> then) {
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_); // lives as long as its wait
    timer->expires_after(after);
    timer->async_wait([timer, then = std::move(then)](const boost::system::error_code& error) {
        if (!error) {
            then();
        }
    });
}

void fault_schedule::process_fault() {
    auto all = world_.processes();
    auto* one = pick(all);
    const auto now = clock_.now();
    switch (random_.below(6)) {
    case 0:
    case 1:
        note("pause " + one->log_path());
        one->pause(now, between(random_, duration{100}, duration{3'500}));
        break;
    case 2:
        note("kill " + one->log_path());
        one->kill(now, between(random_, duration{50}, duration{1'500}));
        break;
    case 3:
        note("terminate " + one->log_path());
        one->terminate(now);
        break;
    case 4:
        note("hang up " + one->log_path());
        one->hang_up(now);
        break;
    default:
        if (random_.below(4) == 0) {
            note("kill all processes");
            for (auto* each : all) {
                each->kill(now, duration{300});
            }
        } else {
            note("terminate, then kill " + one->log_path());
            one->terminate(now);
            later(between(random_, duration{50}, duration{1'000}), [this, one] {
                if (one->is_away()) {
                    one->kill(clock_.now(), duration{200});
                }
            });
        }
        break;
    }
}

void fault_schedule::link_fault() {
    auto all = world_.links();
    auto* one = pick(all);
    const auto length = between(random_, duration{200}, duration{3'000});
    switch (random_.below(5)) {
    case 0:
        note("delay a link");
        one->delay(between(random_, duration{10}, duration{400}));
        break;
    case 1:
        note("silence a link");
        one->silence(static_cast<direction>(random_.below(3)));
        break;
    case 2:
        note("reset a link");
        one->reset();
        return;
    case 3:
        note("refuse at a link");
        one->refuse();
        break;
    default: {
        // Callers' own connections are kept: what a caller never sent can't be answered.
        auto& site = pick(world_.backends());
        note("strand connections to " + site.backend->id());
        site.front->strand();
        return;
    }
    }
    later(length, [one] { one->heal(); });
}

void fault_schedule::store_fault() {
    auto& store = world_.store();
    const auto length = between(random_, duration{300}, duration{5'000});
    switch (random_.below(3)) {
    case 0:
        note("the store refuses");
        store.refuses = true;
        break;
    case 1:
        note("the store is silent");
        store.is_silent = true;
        break;
    default:
        note("the store forgets its history");
        store.forget_history();
        return;
    }
    for (auto& each : world_.entries()) {
        each.store->reset(); // its watches end, and none counts as in touch with it
    }
    later(length, [this, &store] {
        store.refuses = false;
        store.is_silent = false;
        for (auto& each : world_.entries()) {
            each.store->reset();
        }
    });
}

void fault_schedule::backend_fault() {
    auto& site = pick(world_.backends());
    const auto length = between(random_, duration{300}, duration{3'000});
    switch (random_.below(5)) {
    case 0:
        crash(site, length);
        break;
    case 1:
        note("slow " + site.backend->id());
        site.backend->faults.slowness = 6;
        break;
    case 2:
        note("lost answers of " + site.backend->id());
        site.backend->faults.lost_answers = 0.3;
        break;
    case 3:
        note("broken answers of " + site.backend->id());
        site.backend->faults.broken_answers = 0.3;
        break;
    default:
        replace(site);
        return;
    }
    later(length, [&site] { site.backend->faults = {}; });
}

/** It dies without a word, and comes back empty, under its old id or a new one. */
void fault_schedule::crash(backend_site& site, duration length) {
    note("crash " + site.backend->id());
    const bool renames = random_.below(2) == 0;
    site.front->refuse();
    if (renames) {
        world_.remove_registration(site);
    }
    site.backend->restart(renames);
    later(length, [this, &site] {
        site.front->heal();
        world_.write_registration(site, "ready");
    });
}

/** It says that it leaves, serves on for a while, goes, and another one takes its address. */
void fault_schedule::replace(backend_site& site) {
    note("replace " + site.backend->id());
    world_.write_registration(site, "draining");
    const auto leaving = site.backend->id();
    later(duration{4'500}, [this, &site, leaving] {
        if (site.backend->id() != leaving) {
            return; // it crashed meanwhile
        }
        world_.remove_registration(site);
        site.front->reset();
        site.backend->restart(true);
        world_.write_registration(site, "ready");
    });
}

void fault_schedule::operators_change() {
    auto& keys = world_.callers().keys;
    switch (random_.below(3)) {
    case 0: {
        auto& key = pick(keys);
        note((key.is_valid ? "withdraw " : "restore ") + key.key);
        key.is_valid = !key.is_valid;
        key.changed = clock_.now();
        world_.write_catalogue();
        break;
    }
    case 1:
        note("new version of an adapter");
        world_.bump_adapter_version(static_cast<int>(random_.below(8)));
        break;
    default:
        note("new version of the text");
        world_.write_catalogue();
        break;
    }
}

} // namespace camphorgrade::soak
