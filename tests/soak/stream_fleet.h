#pragma once

#include "soak_world.h"
#include "stream_caller.h"

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/** @file Entries, engines of two software versions, and callers whose streams break, under the
    control of a test. */
namespace camphorgrade::soak {

/** Size and programs of a stream_fleet. A value type. */
struct stream_fleet_settings {
    int entries = 4;
    int engines = 2;            /**< Of each software version. */
    std::string program_folder; /**< Empty: the programs of this build. */
    bool keeps_logs = false;    /**< Also those of a run that passed. */

    friend bool operator==(const stream_fleet_settings&, const stream_fleet_settings&) = default;
};

/** What became of the streams that were taken up again. */
struct stream_counts {
    std::size_t resumed = 0;
    std::size_t continued = 0;
    std::size_t crossed = 0;
    std::size_t refused_for_good = 0;
    // Of those resumed, by the software version at which they began:
    std::map<std::string, std::size_t> begun;
    std::map<std::string, std::size_t> continued_of;
};

/** Entries and engines, of which a part is registered later, and the streams of their callers. */
class stream_fleet {
public:
    explicit stream_fleet(const stream_fleet_settings& settings) : settings_(settings) {}
    ~stream_fleet() {
        for (auto* each : world_.processes()) {
            each->kill(clock_.now(), duration{60'000});
        }
        if (is_done_ && !settings_.keeps_logs) {
            std::filesystem::remove_all(world_.folder());
        }
    }
    stream_fleet(const stream_fleet&) = delete;
    stream_fleet& operator=(const stream_fleet&) = delete;

    /** Starts all processes but the agents of the engines of the second version. Returns whether
       all entries are ready. */
    bool start() {
        world_.write_configuration();
        auto& sites = world_.backends();
        for (std::size_t i = 0; i < sites.size(); ++i) {
            auto& site = sites[i];
            const bool is_first = is_first_version(i);
            while (software_version_of(site.backend->id()) != (is_first ? "v1" : "v2")) {
                site.backend->restart(true);
            }
            site.backend->faults.slowdown_factor = event_slowdown;
            if (is_first) {
                start_engine(site);
            }
        }
        for (auto& each : world_.entries()) {
            each.process->start(clock_.now());
        }
        return await_ready();
    }

    /** Registers the engines of the second version. */
    void start_second_version() {
        auto& sites = world_.backends();
        for (std::size_t i = 0; i < sites.size(); ++i) {
            if (!is_first_version(i)) {
                start_engine(sites[i]);
            }
        }
    }

    /** Streams to the adapters `first` and on, in turn, some at each of the entries. */
    void begin_streams(const std::set<std::size_t>& entries, int first, int adapters) {
        int next = 0;
        for (int i = 0; i < streams_per_entry; ++i) {
            for (const auto entry : entries) {
                const auto adapter = "a" + std::to_string(first + next++ % adapters);
                callers_.push_back(std::make_unique<stream_caller>(
                    loop_, clock_, "s" + std::to_string(begun_streams_++), adapter,
                    world_.callers(), ledger_));
                callers_.back()->begin(entry);
            }
        }
    }

    /** Lets all streams end. */
    void await_streams() {
        advance_until([this] { return are_callers_idle(); }, warm_up_timeout);
    }

    /** Lets all streams end and forgets them. */
    void finish_streams() {
        await_streams();
        old_callers_.insert(old_callers_.end(), std::make_move_iterator(callers_.begin()),
                            std::make_move_iterator(callers_.end()));
        callers_.clear();
    }

    /** Turns the store away from entries: their calls are refused, or wait without an answer. */
    void cut_off_from_store(const std::set<std::size_t>& entries) {
        bool stalls = false;
        for (const auto each : entries) {
            auto& link = *world_.entries()[each].store_link;
            stalls ? link.stall(direction::both) : link.refuse_connections();
            stalls = !stalls;
        }
    }

    /** Breaks the streams at these entries: one entry is killed, the others lose their callers. */
    void break_streams(const std::set<std::size_t>& entries, bool kills_one) {
        for (const auto each : entries) {
            auto& site = world_.entries()[each];
            if (kills_one) {
                site.process->kill(clock_.now(), duration{500});
                kills_one = false;
            } else {
                site.caller_link->reset_connections();
            }
        }
        advance(duration{100});
    }

    /** Takes up each broken stream at one of `entries`, in turn, but not where it began. */
    void resume_streams(const std::set<std::size_t>& entries) {
        const std::vector<std::size_t> places(entries.begin(), entries.end());
        std::size_t next = 0;
        for (auto& each : callers_) {
            if (!each->is_broken()) {
                continue;
            }
            if (places[next % places.size()] == each->result().begun_gateway) {
                ++next;
            }
            each->resume(places[next++ % places.size()]);
        }
        advance_until([this] { return are_callers_idle(); }, resumption_timeout);
    }

    /** Waits until these entries know an engine of the second version. */
    bool learn_second_version(const std::set<std::size_t>& entries) {
        const auto knows = [this](std::size_t entry) { return knows_second_version(entry); };
        return advance_until([&] { return std::all_of(entries.begin(), entries.end(), knows); },
                             learning_timeout);
    }

    /** Whether the registration of an engine of the second version is in the entry's log. */
    bool knows_second_version(std::size_t entry) {
        const auto log = testing::read_file(world_.entries()[entry].process->log_path());
        const auto& sites = world_.backends();
        for (std::size_t i = 0; i < sites.size(); ++i) {
            if (!is_first_version(i) && log.find(sites[i].backend->id()) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    /** Number of the entries that know of the second version's engines. */
    std::size_t informed(const std::set<std::size_t>& entries) {
        return static_cast<std::size_t>(
            std::count_if(entries.begin(), entries.end(),
                          [this](std::size_t each) { return knows_second_version(each); }));
    }

    /** A third of the entries: first those that watch the store for the others, if any do. */
    std::set<std::size_t> third_of_entries() {
        const auto log = testing::read_file(world_.entries().front().process->log_path());
        const auto line = log.substr(std::min(log.size(), log.rfind("report_relays")));
        const auto relays = line.substr(0, line.find('\n'));
        const auto size = world_.entries().size();
        std::set<std::size_t> out;
        for (std::size_t i = 0; i < size; ++i) {
            const auto ip = world_.readiness_endpoint(i).address().to_string();
            if (relays.find(ip + ':') != std::string::npos) {
                out.insert(i);
            }
        }
        for (std::size_t i = size; i-- > 0 && out.size() < (size + 2) / 3;) {
            out.insert(i);
        }
        return out;
    }

    std::set<std::size_t> all_entries() {
        std::set<std::size_t> out;
        for (std::size_t i = 0; i < world_.entries().size(); ++i) {
            out.insert(i);
        }
        return out;
    }

    std::set<std::size_t> all_but(const std::set<std::size_t>& excluded) {
        auto out = all_entries();
        std::erase_if(out, [&](std::size_t each) { return excluded.contains(each); });
        return out;
    }

    /** The store drops its changes, as it does after a while. */
    void forget_store_history() { world_.store().forget_history(); }

    /** Kills all processes of the system at once; they start again after `down_time`. */
    void kill_all(duration down_time) {
        for (auto* each : world_.processes()) {
            each->kill(clock_.now(), down_time);
        }
    }

    /** Kills all entries at once, and no agent. */
    void kill_entries(duration down_time) {
        for (auto& each : world_.entries()) {
            each.process->kill(clock_.now(), down_time);
        }
    }

    /** Waits until all entries are ready. */
    bool await_ready() {
        return advance_until([this] { return are_all_ready(); }, startup_timeout);
    }

    /** How many of the streams that have ended brought an event. */
    std::size_t count_begun() const {
        return static_cast<std::size_t>(
            std::count_if(callers_.begin(), callers_.end(),
                          [](const auto& each) { return each->result().begun.last_event > 0; }));
    }

    std::size_t stream_count() const { return callers_.size(); }

    stream_counts count() const {
        stream_counts out;
        for (const auto& each : callers_) {
            const auto& result = each->result();
            if (result.was_resumed) {
                ++out.resumed;
                out.continued += result.was_continued() ? 1 : 0;
                out.crossed += result.has_crossed ? 1 : 0;
                out.refused_for_good += result.refusals > 0 && !result.was_continued() ? 1 : 0;
                ++out.begun[result.begun.version];
                out.continued_of[result.begun.version] += result.was_continued() ? 1 : 0;
            }
        }
        return out;
    }

    void advance(duration time) {
        advance_until([] { return false; }, time);
    }

    int first_engines() const { return settings_.engines; }
    std::string folder() const { return world_.folder(); }
    const std::vector<std::string>& violations() const { return ledger_.violations(); }
    /** The logs aren't needed any more. */
    void set_done(bool is_done) { is_done_ = is_done; }

private:
    static constexpr std::uint64_t seed = 7;
    static constexpr duration step{20};
    static constexpr duration startup_timeout{15'000};
    static constexpr duration warm_up_timeout{8'000};
    static constexpr duration learning_timeout{8'000};
    static constexpr duration resumption_timeout{9'000};
    static constexpr int event_slowdown = 20; /**< A stream of twelve events lasts 3.6 s. */
    static constexpr int streams_per_entry = 10;

    static ledger_bounds bounds() {
        ledger_bounds out;
        out.max_attempts = max_attempts;
        return out;
    }

    static soak_sizes sizes(const stream_fleet_settings& settings) {
        soak_sizes out;
        out.entries = settings.entries;
        out.engines = 2 * settings.engines;
        out.services = 0;
        out.program_folder = settings.program_folder;
        return out;
    }

    bool is_first_version(std::size_t site) const {
        return site < static_cast<std::size_t>(settings_.engines);
    }

    void start_engine(backend_site& site) {
        world_.write_registration(site, "ready");
        site.agent->start(clock_.now());
    }

    bool are_all_ready() {
        for (std::size_t i = 0; i < world_.entries().size(); ++i) {
            if (fetch_page(world_.readiness_endpoint(i), "/readiness").status != 200) {
                return false;
            }
        }
        return true;
    }

    bool are_callers_idle() const {
        return std::all_of(callers_.begin(), callers_.end(),
                           [](const auto& each) { return each->is_idle(); });
    }

    template <typename Done>
    bool advance_until(Done is_done, duration longest) {
        const auto end = clock_.now() + longest;
        while (!is_done()) {
            if (clock_.now() >= end) {
                return false;
            }
            loop_.run_for(step);
            world_.poll();
        }
        return true;
    }

    monotonic_clock clock_;
    boost::asio::io_context loop_;
    ledger ledger_{bounds()};
    stream_fleet_settings settings_;
    soak_world world_{loop_, clock_, seed, sizes(settings_), ledger_};
    std::vector<std::unique_ptr<stream_caller>> callers_;
    std::vector<std::unique_ptr<stream_caller>> old_callers_;
    std::size_t begun_streams_ = 0; // each stream has an id of its own
    bool is_done_ = false;
};

} // namespace camphorgrade::soak
