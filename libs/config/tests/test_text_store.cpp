#include "generators.h"

#include <config/text_store.h>

#include <kvstore/memory_store.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>

using namespace camphorgrade;
using namespace camphorgrade::config;

namespace {

/** The store in memory; faults are taken from a list, one for each call, then none. */
class faulty_access final : public kv_access {
public:
    enum class fault { none, refused, answer_lost, silent };

    explicit faulty_access(memory_store& shared) : store(&shared) {}

    kv_reply execute(const kv_request& request) override {
        if (before_call) {
            before_call(request);
        }
        const fault next = faults.empty() ? fault::none : faults.back();
        if (!faults.empty()) {
            faults.pop_back();
        }
        if (next == fault::refused) {
            return kv_failure{kv_failure_kind::not_applied};
        }
        if (next == fault::silent) {
            return kv_failure{kv_failure_kind::ambiguous};
        }
        kv_reply reply = store->apply(request, time_point{});
        return next == fault::answer_lost ? kv_reply{kv_failure{kv_failure_kind::ambiguous}}
                                          : reply;
    }

    memory_store* store;
    std::vector<fault> faults; // from the back
    std::function<void(const kv_request&)> before_call;
};

operators_text text_of(std::uint64_t rate) {
    operators_statement statement;
    statement.deployment = "test";
    statement.models = {{"base"}};
    statement.client_accounts = {{"account", rate, 1}};
    return std::get<operators_text>(
        operators_text::create(std::move(statement), generate::adapters(0, 1)));
}

template <typename T>
std::optional<T> outcome_of(boost::leaf::result<apply_outcome> result) {
    if (!result) {
        return std::nullopt;
    }
    const auto* outcome = std::get_if<T>(&*result);
    return outcome == nullptr ? std::nullopt : std::optional(*outcome);
}

std::uint64_t rate_in_store(memory_store& store) {
    faulty_access access(store);
    auto found = text_store(access).fetch();
    return found && *found ? (*found)->text.client_accounts().front().rate_tokens_per_s : 0;
}

std::size_t chunks_in_store(memory_store& store) {
    const std::string prefix(chunk_key_prefix);
    const auto reply = store.apply(kv_range{prefix, kv_prefix_end(prefix)}, time_point{});
    return std::get<kv_range_result>(reply).entries.size();
}

bool is_head_swap(const kv_request& request) {
    const auto* txn = std::get_if<kv_txn>(&request);
    return txn != nullptr && !txn->compares.empty() && !txn->success.empty() &&
           std::holds_alternative<kv_put>(txn->success.front());
}

} // namespace

TEST_CASE("texts follow each other, and unused chunks are removed") {
    memory_store store;
    faulty_access access(store);
    text_store texts(access);
    CHECK_FALSE(texts.fetch()->has_value());
    CHECK(outcome_of<apply_accepted>(texts.apply(text_of(1), 0, apply_id{"a"}))->revision == 1);
    CHECK(outcome_of<apply_unchanged>(texts.apply(text_of(1), 1, apply_id{"b"}))->revision == 1);
    CHECK(outcome_of<apply_unchanged>(texts.apply(text_of(1), 0, apply_id{"b2"}))->revision == 1);
    CHECK(outcome_of<apply_accepted>(texts.apply(text_of(2), 1, apply_id{"c"}))->revision == 2);
    CHECK(rate_in_store(store) == 2);
    CHECK(chunks_in_store(store) == 1);
}

TEST_CASE("a text edited from an older revision is refused with the difference") {
    memory_store store;
    faulty_access access(store);
    text_store texts(access);
    texts.apply(text_of(1), 0, apply_id{"a"});
    texts.apply(text_of(2), 1, apply_id{"b"});
    const auto raced = outcome_of<apply_raced>(texts.apply(text_of(3), 1, apply_id{"c"}));
    REQUIRE(raced);
    CHECK(raced->revision == 2);
    CHECK(raced->differences ==
          std::vector<text_change>{{text_part::client_account, change_kind::changed, "account"}});
    CHECK(rate_in_store(store) == 2);
}

TEST_CASE("of two operators who race at the last moment exactly one wins") {
    memory_store store;
    faulty_access first(store);
    faulty_access second(store);
    text_store(first).apply(text_of(1), 0, apply_id{"base"});
    bool raced = false;
    first.before_call = [&](const kv_request& request) {
        if (is_head_swap(request) && !raced) {
            raced = true;
            CHECK(outcome_of<apply_accepted>(
                text_store(second).apply(text_of(3), 1, apply_id{"second"})));
        }
    };
    const auto lost =
        outcome_of<apply_raced>(text_store(first).apply(text_of(2), 1, apply_id{"first"}));
    REQUIRE(lost);
    CHECK(lost->differences.size() == 1);
    CHECK(rate_in_store(store) == 3);
    CHECK(chunks_in_store(store) == 1); // the loser's are gone again
}

TEST_CASE("an apply whose answer was lost is found even when another followed it") {
    memory_store store;
    faulty_access first(store);
    faulty_access second(store);
    text_store(first).apply(text_of(1), 0, apply_id{"base"});
    int swaps = 0;
    first.before_call = [&](const kv_request& request) {
        if (!is_head_swap(request)) {
            return;
        }
        if (++swaps == 1) {
            first.faults = {faulty_access::fault::answer_lost};
        } else {
            text_store(second).apply(text_of(3), 2, apply_id{"second"});
        }
    };
    const auto accepted =
        outcome_of<apply_accepted>(text_store(first).apply(text_of(2), 1, apply_id{"first"}));
    REQUIRE(accepted);
    CHECK(accepted->revision == 2);
    CHECK(accepted->superseded);
}

TEST_CASE("what apply says is what happened, whatever calls fail") {
    rc::prop("faults at any call", [] {
        memory_store store;
        faulty_access access(store);
        text_store(access).apply(text_of(1), 0, apply_id{"base"});
        access.faults = *rc::gen::container<std::vector<faulty_access::fault>>(
            12,
            rc::gen::weightedElement<faulty_access::fault>({{5, faulty_access::fault::none},
                                                            {2, faulty_access::fault::refused},
                                                            {2, faulty_access::fault::answer_lost},
                                                            {1, faulty_access::fault::silent}}));
        const auto result = text_store(access).apply(text_of(2), 1, apply_id{"mine"});
        const bool written = rate_in_store(store) == 2;
        if (result) {
            RC_ASSERT(std::holds_alternative<apply_accepted>(*result));
            RC_ASSERT(written);
        }
    });
    rc::prop("two operators in turn: as many wins as revisions", [] {
        memory_store store;
        faulty_access access(store);
        std::uint64_t wins = 0;
        std::uint64_t unknown = 0;
        const auto rounds = *rc::gen::inRange<std::uint64_t>(1, 12);
        for (std::uint64_t i = 0; i < rounds; ++i) {
            const auto base = *rc::gen::inRange<std::uint64_t>(0, rounds);
            access.faults = *rc::gen::container<std::vector<faulty_access::fault>>(
                4, rc::gen::element(faulty_access::fault::none, faulty_access::fault::answer_lost));
            const auto result =
                text_store(access).apply(text_of(i + 1), base, apply_id{std::to_string(i)});
            unknown += result ? 0U : 1U;
            wins += result && std::holds_alternative<apply_accepted>(*result) ? 1U : 0U;
        }
        access.faults.clear();
        auto found = text_store(access).fetch();
        const std::uint64_t revision = found && *found ? (*found)->head.revision : 0;
        RC_ASSERT(revision >= wins);
        RC_ASSERT(revision <= wins + unknown);
    });
}

TEST_CASE("a copy of the text remembers its revision") {
    const std::string yaml = to_yaml(text_of(1));
    CHECK(noted_revision(note_revision(yaml, 7)) == 7);
    CHECK(std::holds_alternative<operators_text>(parse_operators_text(note_revision(yaml, 7))));
    CHECK_FALSE(noted_revision(yaml));
    CHECK_FALSE(noted_revision("# revision: x\n"));
    CHECK_FALSE(noted_revision(""));
}
