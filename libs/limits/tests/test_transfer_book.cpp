#include <limits/share_audit.h>
#include <limits/transfer_book.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::limits;

namespace {

constexpr time_point start{};
constexpr std::uint64_t giver = 3;
constexpr std::uint64_t receiver = 4;
const share tenth{whole / 10, whole / 10, 0};

} // namespace

TEST_CASE("a transfer is applied once, in any order") {
    transfer_book book;
    CHECK(book.judge(giver, 2, 0) == transfer_verdict::apply);
    CHECK(book.judge(giver, 1, 0) == transfer_verdict::apply);
    CHECK(book.judge(giver, 1, 0) == transfer_verdict::duplicate);
    CHECK(book.judge(giver, 2, 0) == transfer_verdict::duplicate);
    CHECK(book.judge(giver, 3, 0) == transfer_verdict::apply);
}

TEST_CASE("a transfer is resent until it is acknowledged") {
    transfer_book book;
    const transfer sent = book.give(receiver, "a", tenth, start);
    CHECK(book.due(start + duration{199}, duration{200}).empty());
    CHECK(book.due(start + duration{200}, duration{200}) == std::vector<transfer>{sent});
    book.acknowledge(receiver, sent.sequence, 0);
    CHECK(book.settled());
    CHECK(book.due(start + duration{900}, duration{200}).empty());
}

TEST_CASE("an audit counts a transfer at the giver, the receiver or both, never at none") {
    transfer_book book;
    const std::uint64_t sequence = book.give(receiver, "a", tenth, start).sequence;
    SECTION("not yet acknowledged") {
        CHECK(book.join(1, {}).at("a").rate_parts == whole / 10);
    }
    SECTION("applied by a receiver that had reported already") {
        book.acknowledge(receiver, sequence, 1);
        CHECK(book.join(1, {}).at("a").rate_parts == whole / 10);
        CHECK(book.join(2, {}).empty());
    }
    SECTION("applied by a receiver that reports later") {
        book.acknowledge(receiver, sequence, 0);
        CHECK(book.join(1, {}).empty());
    }
    SECTION("to a dead receiver") {
        CHECK(book.join(1, {receiver}).empty());
    }
}

TEST_CASE("nothing given after the giver's report is applied before the receiver's") {
    transfer_book book;
    CHECK(book.judge(giver, 1, 5) == transfer_verdict::too_early);
    book.join(5, {});
    CHECK(book.judge(giver, 1, 5) == transfer_verdict::apply);
    book.join(6, {giver});
    CHECK(book.judge(giver, 2, 5) == transfer_verdict::refused);
}

TEST_CASE("an audit finds what nobody reports") {
    share_audit audit(1, {giver, receiver});
    audit.report(giver, {{"a", tenth}});
    audit.report(giver, {{"a", tenth}});
    CHECK_FALSE(audit.complete());
    audit.report(receiver, {{"a", {whole / 2, whole, 0}}});
    REQUIRE(audit.complete());
    CHECK(audit.unheld("a") == share{whole * 4 / 10, 0, 0});
    CHECK(audit.unheld("b") == share{whole, whole, 0});
    CHECK(audit_round(2, 0, 0) > audit_round(1, 9, 9));
    CHECK(count_of_round(audit_round(2, 7, 3)) == 7);
}
