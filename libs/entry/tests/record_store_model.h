#pragma once

#include <kernel/clock.h>
#include <kernel/random.h>
#include <serving/record_store.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace camphorgrade::entry::testing {

/**
 * The platform's store under virtual time: registrations, catalogues and the system's records, with
 * one revision counter and a history that it drops after a while. Deterministic. Not thread safe.
 */
class record_store_model {
public:
    struct change {
        std::uint64_t revision = 0;
        time_point at;
        std::string removed; /**< Id of a server; empty if something was written. */
        std::optional<serving::backend_server> server;
        std::optional<serving::service_catalogue> catalogue;
    };

    /** State that a return from a copy restores. */
    struct copy {
        std::map<std::string, serving::stored_record> records;
        std::map<std::string, serving::backend_server> servers;
        std::optional<serving::service_catalogue> catalogue;
        std::uint64_t revision = 0;
    };

    explicit record_store_model(const clock& clock, std::uint64_t seed)
        : clock_(clock), random_(seed) {}

    void put(const serving::backend_server& server) {
        state_.servers[server.id] = server;
        changes_.push_back({++state_.revision, clock_.now(), {}, server, std::nullopt});
    }
    void put(const serving::service_catalogue& catalogue) {
        state_.catalogue = catalogue;
        changes_.push_back({++state_.revision, clock_.now(), {}, std::nullopt, catalogue});
    }
    void remove(const std::string& id) {
        state_.servers.erase(id);
        changes_.push_back({++state_.revision, clock_.now(), id, std::nullopt, std::nullopt});
    }

    /** Changes after `revision`; empty if some of them have been dropped. */
    std::optional<std::vector<change>> changes_since(std::uint64_t revision) {
        while (!changes_.empty() && clock_.now() - changes_.front().at >= history_time) {
            dropped_revision_ = changes_.front().revision;
            changes_.erase(changes_.begin());
        }
        if (revision < dropped_revision_ || revision > state_.revision) {
            return std::nullopt;
        }
        std::vector<change> out;
        std::copy_if(changes_.begin(), changes_.end(), std::back_inserter(out),
                     [&](const change& each) { return each.revision > revision; });
        return out;
    }

    serving::write_result write(const serving::record_write& record) {
        if (random_.unit() < refused_write_share || !takes_writes) {
            return {serving::write_outcome::refused, 0, std::nullopt};
        }
        const auto found = state_.records.find(record.key);
        const auto present = found == state_.records.end() ? 0 : found->second.revision;
        if (present != record.expected_revision) {
            return {serving::write_outcome::conflict, 0,
                    present == 0 ? std::nullopt : std::optional(found->second)};
        }
        ++writes;
        state_.records[record.key] = {record.key, record.value, ++state_.revision};
        const bool is_lost = random_.unit() < lost_answer_share;
        return is_lost ? serving::write_result{}
                       : serving::write_result{serving::write_outcome::done, state_.revision,
                                               std::nullopt};
    }

    serving::record_list read(const std::string& prefix) const {
        serving::record_list out;
        out.position = position();
        for (const auto& [key, record] : state_.records) {
            if (key.compare(0, prefix.size(), prefix) == 0) {
                out.records.push_back(record);
            }
        }
        return out;
    }

    /** Returns to `saved`: what came later is lost, and the era rises. */
    void restore(const copy& saved) {
        state_ = saved;
        std::erase_if(changes_, [&](const auto& each) { return each.revision > saved.revision; });
        dropped_revision_ = std::min(dropped_revision_, saved.revision);
        ++era;
    }

    serving::store_position position() const { return {era, state_.revision}; }
    const copy& state() const noexcept { return state_; }

    duration history_time{20'000};
    std::uint64_t era = 0;
    bool is_away = false;     /**< Answers nothing. */
    bool takes_writes = true; /**< Otherwise it refuses the system's records. */
    double refused_write_share = 0;
    double lost_answer_share = 0; /**< Of the writes that are done. */
    std::size_t writes = 0;       /**< Records written. */

private:
    const clock& clock_;
    random_source random_;
    copy state_;
    std::vector<change> changes_;
    std::uint64_t dropped_revision_ = 0;
};

/** The store as one process calls it: answers come with a delay, and not after the process's end.
    Not thread safe. */
class store_link final : public serving::record_store {
public:
    store_link(const clock& clock, record_store_model& store) : clock_(clock), store_(store) {}

    void read(const std::string& prefix, list_handler done) override {
        later([this, prefix, done = std::move(done)] {
            done(store_.is_away ? std::nullopt : std::optional(store_.read(prefix)));
        });
    }

    void read_changes(std::uint64_t revision, changes_handler done) override {
        later([this, revision, done = std::move(done)] { answer_changes(revision, done); });
    }

    void write(const serving::record_write& record, write_handler done) override {
        later([this, record, done = std::move(done)] {
            done(store_.is_away ? serving::write_result{} : store_.write(record));
        });
    }

    void open_lease(duration, lease_handler done) override {
        later([this, done = std::move(done)] {
            const bool is_open = !store_.is_away && store_.takes_writes;
            done(is_open ? std::optional<std::uint64_t>(1) : std::nullopt);
        });
    }

    /** Delivers what is due. */
    void advance() {
        for (auto& [due, call] : std::exchange(calls_, {})) {
            if (due > clock_.now()) {
                calls_.emplace_back(due, std::move(call));
            } else {
                call();
            }
        }
    }

private:
    /** Longer than other processes take to answer. */
    static constexpr duration answer_time{40};

    void later(std::function<void()> call) {
        calls_.emplace_back(clock_.now() + answer_time, std::move(call));
    }

    void answer_changes(std::uint64_t revision, const changes_handler& done) {
        if (store_.is_away) {
            done(serving::changes_fault::failed);
            return;
        }
        const auto changes = store_.changes_since(revision);
        if (!changes) {
            done(serving::changes_fault::history_gone);
            return;
        }
        serving::recorded_changes out;
        out.era = store_.era;
        for (const auto& each : *changes) {
            if (each.server) {
                out.registrations.push_back(*each.server);
            } else if (each.catalogue) {
                out.catalogues.push_back(*each.catalogue);
            }
        }
        done(out);
    }

    const clock& clock_;
    record_store_model& store_;
    std::vector<std::pair<time_point, std::function<void()>>> calls_;
};

} // namespace camphorgrade::entry::testing
