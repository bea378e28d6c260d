#include <delivery_sim/trace.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace camphorgrade::delivery::sim {

namespace {

namespace leaf = boost::leaf;

constexpr std::string_view format_line = "format camphor-trace 1";

leaf::result<std::int64_t> number_in(const std::string& word, std::size_t line) {
    std::int64_t value = 0;
    const char* const end = word.data() + word.size();
    const auto [stop, error] = std::from_chars(word.data(), end, value);
    if (error != std::errc{} || stop != end || value < 0) {
        return leaf::new_error(trace_error{trace_fault::bad_number, line});
    }
    return value;
}

/** Splits a line into its verb, plain words and name=value words. */
trace_action split(std::istringstream& line) {
    trace_action action;
    line >> action.verb;
    std::string word;
    while (line >> word) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            action.words.push_back(word);
        } else {
            action.values[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return action;
}

leaf::result<void> read_world(std::istringstream& line, std::size_t number, world_settings& out) {
    const trace_action read = split(line);
    std::map<std::string, std::string> values = read.values;
    const std::size_t equals = read.verb.find('=');
    if (equals != std::string::npos) {
        values[read.verb.substr(0, equals)] = read.verb.substr(equals + 1);
    }
    for (const auto& [name, text] : values) {
        BOOST_LEAF_AUTO(value, number_in(text, number));
        if (name == "seed") {
            out.seed = static_cast<std::uint64_t>(value);
        } else if (name == "gateways") {
            out.gateways = static_cast<unsigned>(value);
        } else if (name == "agents") {
            out.agents = static_cast<unsigned>(value);
        } else if (name == "retention") {
            out.once.commit.lease.retention = duration{value};
        } else if (name == "bucket") {
            out.once.commit.lease.bucket = duration{value};
        } else {
            return leaf::new_error(trace_error{trace_fault::unknown_name, number});
        }
    }
    return {};
}

/** Reads one line into the trace. */
class trace_reader {
public:
    explicit trace_reader(trace& out) : out_(out) {}

    leaf::result<void> read(const std::string& text, std::size_t number) {
        std::istringstream line(text);
        std::string kind;
        line >> kind;
        if (kind == "world") {
            return read_world(line, number, out_.world);
        }
        if (kind == "at") {
            return read_action(line, number);
        }
        if (kind == "until") {
            BOOST_LEAF_ASSIGN(out_.until_ms, read_number(line, number));
            return {};
        }
        if (kind == "expect") {
            BOOST_LEAF_AUTO(at, read_number(line, number));
            std::string what;
            std::getline(line >> std::ws, what);
            out_.expected.push_back({at, what});
            return {};
        }
        if (kind == "expect-runs") {
            std::string body;
            line >> body;
            BOOST_LEAF_AUTO(runs, read_number(line, number));
            out_.expected_runs[body] = static_cast<unsigned>(runs);
            return {};
        }
        return leaf::new_error(trace_error{trace_fault::unknown_line, number});
    }

private:
    static leaf::result<std::int64_t> read_number(std::istringstream& line, std::size_t number) {
        std::string word;
        line >> word;
        return number_in(word, number);
    }

    leaf::result<void> read_action(std::istringstream& line, std::size_t number) {
        static const std::vector<std::string> verbs{
            "request",      "store", "kill", "restart", "pause", "resume",
            "kill-backend", "leave", "drop", "cut",     "heal",  "withdraw"};
        BOOST_LEAF_AUTO(at, read_number(line, number));
        trace_action action = split(line);
        action.at_ms = at;
        const bool known = std::find(verbs.begin(), verbs.end(), action.verb) != verbs.end();
        const bool needs_word = action.verb != "heal";
        if (!known || (needs_word && action.words.empty())) {
            return leaf::new_error(trace_error{trace_fault::unknown_line, number});
        }
        if (!out_.actions.empty() && at < out_.actions.back().at_ms) {
            return leaf::new_error(trace_error{trace_fault::out_of_order, number});
        }
        out_.actions.push_back(std::move(action));
        return {};
    }

    trace& out_;
};

std::string value_or(const trace_action& action, const std::string& name,
                     const std::string& otherwise) {
    const auto found = action.values.find(name);
    return found == action.values.end() ? otherwise : found->second;
}

request_spec spec_of(const trace_action& action) {
    request_spec spec;
    spec.name = action.words.front();
    spec.gateway = node_id{value_or(action, "gateway", "g1")};
    spec.account = value_or(action, "account", "acme");
    spec.body = value_or(action, "body", spec.name);
    spec.key = value_or(action, "key", "");
    spec.rule = spec.key.empty() ? repeat_rule::repeatable : repeat_rule::keyed;
    for (const std::string& word : action.words) {
        spec.stream = spec.stream || word == "stream";
        if (word == "once-only") {
            spec.rule = repeat_rule::once_only;
        }
    }
    const std::string limit = value_or(action, "limit", "5000");
    std::int64_t limit_ms = spec.time_limit.count();
    std::from_chars(limit.data(), limit.data() + limit.size(), limit_ms);
    spec.time_limit = duration{limit_ms};
    return spec;
}

void set_store(harness::store_faults& faults, const std::string& mode) {
    faults.mode = mode == "refusing" ? harness::store_mode::refusing
                  : mode == "silent" ? harness::store_mode::silent
                                     : harness::store_mode::up;
    faults.answer_loss = mode == "lose-answers" ? 1 : 0;
}

void carry_out(world& simulated, const trace_action& action) {
    harness::fake_cluster& cluster = simulated.cluster();
    const std::string first = action.words.empty() ? std::string{} : action.words.front();
    const node_id node{first};
    if (action.verb == "request") {
        simulated.submit(spec_of(action));
    } else if (action.verb == "store") {
        set_store(cluster.store(), first);
    } else if (action.verb == "kill") {
        simulated.kill(node);
    } else if (action.verb == "restart") {
        simulated.restart(node);
    } else if (action.verb == "pause") {
        cluster.pause(node);
    } else if (action.verb == "resume") {
        cluster.resume(node);
    } else if (action.verb == "kill-backend") {
        simulated.kill_backend(node);
    } else if (action.verb == "leave") {
        simulated.leave(node);
    } else if (action.verb == "drop") {
        simulated.drop_caller(first);
    } else if (action.verb == "cut") {
        cluster.cut(node, node_id{action.words.back()});
    } else if (action.verb == "heal") {
        cluster.heal();
    } else if (action.verb == "withdraw") {
        simulated.withdraw(first);
    }
}

std::optional<trace_difference> first_difference(const trace& recorded, const world& simulated) {
    const auto& expected = recorded.expected;
    const auto& seen = simulated.observations();
    const std::size_t count = std::max(expected.size(), seen.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::string wanted = i < expected.size() ? text_of(expected[i]) : std::string{};
        const std::string got = i < seen.size() ? text_of(seen[i]) : std::string{};
        if (wanted != got) {
            return trace_difference{i + 1, wanted, got};
        }
    }
    for (const auto& [body, runs] : recorded.expected_runs) {
        if (simulated.runs(body) != runs) {
            return trace_difference{count + 1, "runs " + body + " " + std::to_string(runs),
                                    "runs " + body + " " + std::to_string(simulated.runs(body))};
        }
    }
    return std::nullopt;
}

} // namespace

leaf::result<trace> parse_trace(std::string_view text) {
    trace out;
    trace_reader reader(out);
    std::istringstream lines{std::string(text)};
    std::string line;
    bool format_seen = false;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (!format_seen) {
            if (line != format_line) {
                return leaf::new_error(trace_error{trace_fault::missing_format, number});
            }
            format_seen = true;
            continue;
        }
        leaf::result<void> done = reader.read(line, number);
        if (!done) {
            return done.error();
        }
    }
    if (!format_seen) {
        return leaf::new_error(trace_error{trace_fault::missing_format, 1});
    }
    return out;
}

replay_outcome replay(const trace& recorded) {
    world simulated(recorded.world);
    std::size_t next = 0;
    while (simulated.now_ms() <= recorded.until_ms) {
        while (next < recorded.actions.size() &&
               recorded.actions[next].at_ms <= simulated.now_ms()) {
            carry_out(simulated, recorded.actions[next]);
            ++next;
        }
        simulated.run_for(duration{1});
    }
    return {simulated.observations(), first_difference(recorded, simulated)};
}

std::string text_of(const observation& seen) {
    return std::to_string(seen.at_ms) + " " + seen.what;
}

} // namespace camphorgrade::delivery::sim
