#include <keys/key_book.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace camphorgrade::keys;

namespace {

template <std::size_t N>
std::array<std::uint8_t, N> bytes(std::uint8_t first) {
    std::array<std::uint8_t, N> filled{};
    for (std::size_t i = 0; i < N; ++i) {
        filled[i] = static_cast<std::uint8_t>(first + i);
    }
    return filled;
}

client_key key(std::uint8_t n) {
    return {bytes<key_id_bytes>(n), bytes<key_secret_bytes>(static_cast<std::uint8_t>(n * 7))};
}

key_record record(std::uint8_t n) {
    return make_record(key(n), "account-" + std::to_string(n), bytes<key_salt_bytes>(n));
}

bool accepted(const key_book& book, std::string_view presented) {
    return std::holds_alternative<key_accepted>(book.check(presented));
}

} // namespace

TEST_CASE("an exact key is accepted for its account") {
    key_book book;
    CHECK(book.add(record(3)) == key_merge::added);
    CHECK(book.check(key(3).spell()) == key_check{key_accepted{"account-3", key(3).id()}});
    CHECK(book.check(key(4).spell()) == key_check{key_refusal::unknown});
    CHECK(book.check("") == key_check{key_refusal::malformed});
    CHECK(book.check(std::string(1U << 20U, 'a')) == key_check{key_refusal::malformed});
}

TEST_CASE("a record holds no secret") {
    const std::string kept = encode(record(3));
    CHECK(kept.find(key(3).secret()) == std::string::npos);
    CHECK(decode_key_record(kept) == record(3));
}

TEST_CASE("garbage, huge and repeated input is told apart") {
    key_book book;
    key_record broken = record(1);
    broken.id = "no id";
    CHECK(book.add(broken) == key_merge::malformed);
    broken = record(1);
    broken.client_account = std::string(1000, 'a');
    CHECK(book.add(broken) == key_merge::malformed);
    CHECK(book.add(record(1)) == key_merge::added);
    CHECK(book.add(record(1)) == key_merge::known);
    CHECK(book.withdraw("") == key_merge::malformed);
    CHECK(book.withdraw(std::string(1U << 20U, '0')) == key_merge::malformed);
    CHECK(book.withdraw(key(1).id()) == key_merge::added);
    CHECK(book.withdraw(key(1).id()) == key_merge::known);
    CHECK_FALSE(decode_key_record(std::string(5000, 'x')));
    CHECK_FALSE(decode_key_record(encode(record(1)) + std::string("\x28\x01", 2)));
}

TEST_CASE("of two records with one id every book keeps the same") {
    key_record other = record(1);
    other.client_account = "another";
    key_book first;
    key_book second;
    first.add(record(1));
    CHECK(first.add(other) == key_merge::conflicting);
    second.add(other);
    CHECK(second.add(record(1)) == key_merge::conflicting);
    CHECK(first.records() == second.records());
    CHECK(first.record_digest() == second.record_digest());
}

TEST_CASE("nothing but an exact key is accepted") {
    rc::prop("a key with one byte changed, added or removed is refused", [] {
        key_book book;
        const auto n = *rc::gen::inRange<std::uint8_t>(0, 20);
        book.add(record(n));
        std::string spelled = key(n).spell();
        const auto at = *rc::gen::inRange<std::size_t>(0, spelled.size());
        const auto byte = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            RC_PRE(spelled[at] != byte);
            spelled[at] = byte;
            break;
        case 1:
            spelled.insert(at, 1, byte);
            break;
        default:
            spelled.erase(at, 1);
        }
        RC_ASSERT(!accepted(book, spelled));
    });
    rc::prop("any text is refused", [](const std::string& text) {
        key_book book;
        book.add(record(1));
        RC_ASSERT(!accepted(book, text));
    });
    rc::prop("records are never decoded from anything else", [](const std::string& text) {
        const auto decoded = decode_key_record(text);
        if (decoded) {
            RC_ASSERT(encode(*decoded) == text);
        }
    });
}

TEST_CASE("books agree whatever the order of the news") {
    rc::prop("shuffled and repeated news gives the same book; the withdrawn stay out", [] {
        const auto news = *rc::gen::container<std::vector<std::pair<bool, std::uint8_t>>>(
            rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint8_t>(0, 8)));
        auto shuffled = news;
        for (std::size_t i = shuffled.size(); i > 1; --i) {
            std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        key_book first;
        key_book second;
        const auto tell = [](key_book& book, const std::pair<bool, std::uint8_t>& item) {
            item.first ? book.withdraw(key(item.second).id()) : book.add(record(item.second));
        };
        std::set<std::uint8_t> gone;
        for (const auto& item : news) {
            tell(first, item);
            if (item.first) {
                gone.insert(item.second);
            }
            for (const auto n : gone) {
                RC_ASSERT(!accepted(first, key(n).spell()));
            }
        }
        for (const auto& item : shuffled) {
            tell(second, item);
            tell(second, item);
        }
        RC_ASSERT(first.records() == second.records());
        RC_ASSERT(first.withdrawn_ids() == second.withdrawn_ids());
        RC_ASSERT(first.withdrawn_digest() == second.withdrawn_digest());
        RC_ASSERT(first.record_digest() == second.record_digest());
    });
}
