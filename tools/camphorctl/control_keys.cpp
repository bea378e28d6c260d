#include "control.h"

#include <ostream>

// The commands on client keys.
namespace camphorgrade::ctl {
namespace {

namespace leaf = boost::leaf;

} // namespace

exit_code control::key(const request& asked) {
    const auto& words = asked.words;
    if (words[1] == "give" && words.size() == 3) {
        return give_key(words[2]);
    }
    if (words[1] == "list" && words.size() == 2) {
        return list_keys();
    }
    if (words[1] == "withdraw" && words.size() == 3) {
        return withdraw_key(asked, words[2]);
    }
    err_ << "camphorctl: no such command; see --help\n";
    return exit_code::bad_input;
}

exit_code control::give_key(const std::string& account) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
            BOOST_LEAF_AUTO(found, config::text_store(*around_.store).fetch());
            if (!found || found->text.find_client_account(account) == nullptr) {
                err_ << "camphorctl: the text in force has no client account '" << account << "'\n";
                return exit_code::failed;
            }
            BOOST_LEAF_AUTO(key,
                            keys::key_registry(*around_.store).give(account, around_.draw_key()));
            out_ << key.spell() << '\n';
            err_ << "id " << key.id() << "; the key is not kept and can't be shown again\n";
            return exit_code::ok;
        },
        [&](config::store_fault fault) { return explain(fault); },
        [&](keys::registry_fault fault) { return explain(fault); },
        [] { return exit_code::failed; });
}

exit_code control::list_keys() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
            BOOST_LEAF_AUTO(all, keys::key_registry(*around_.store).list());
            for (const keys::listed_key& each : all) {
                out_ << each.id << ' ' << each.client_account
                     << (each.withdrawn ? " withdrawn" : "") << '\n';
            }
            return exit_code::ok;
        },
        [&](keys::registry_fault fault) { return explain(fault); },
        [] { return exit_code::failed; });
}

exit_code control::withdraw_key(const request& asked, const std::string& id) {
    std::size_t holders = 0;
    for (const std::string& address : asked.operators) {
        const bool holds = keys::is_key_id(id) && around_.processes->withdraw_key(address, id);
        out_ << address << (holds ? " holds the withdrawal\n" : " does not hold it\n");
        holders += holds ? 1U : 0U;
    }
    const exit_code written = leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
            if (auto done = keys::key_registry(*around_.store).withdraw(id); !done) {
                return done.error();
            }
            out_ << id << " withdrawn\n";
            return exit_code::ok;
        },
        [&](keys::registry_fault fault) { return explain(fault); },
        [] { return exit_code::failed; });
    const bool out_of_reach =
        written == exit_code::unavailable || written == exit_code::outcome_unknown;
    if (out_of_reach && holders > 0) {
        out_ << holders << " processes hold the withdrawal and write it when the key-value "
             << "service is back\n";
        return exit_code::ok;
    }
    return written;
}

} // namespace camphorgrade::ctl
