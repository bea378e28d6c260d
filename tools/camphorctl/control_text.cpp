#include "control.h"

#include <config/diff.h>

#include <ostream>

// The commands on the operators' text.
namespace camphorgrade::ctl {
namespace {

namespace leaf = boost::leaf;

void print(std::ostream& out, const std::vector<config::text_change>& changes) {
    for (const config::text_change& change : changes) {
        out << "  " << config::to_string(change) << '\n';
    }
}

} // namespace

exit_code control::check(const request& asked) {
    std::string yaml;
    if (!read_text(asked.words[1], yaml)) {
        return exit_code::bad_input;
    }
    out_ << asked.words[1] << ": no faults\n";
    return exit_code::ok;
}

exit_code control::show() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
            BOOST_LEAF_AUTO(found, config::text_store(*around_.store).fetch());
            if (!found) {
                err_ << "camphorctl: no text was applied yet\n";
                return exit_code::failed;
            }
            out_ << config::note_revision(config::to_yaml(found->text), found->head.revision);
            return exit_code::ok;
        },
        [&](config::store_fault fault) { return explain(fault); },
        [] { return exit_code::failed; });
}

exit_code control::diff(const request& asked) {
    std::string yaml;
    const auto text = read_text(asked.words[1], yaml);
    if (!text) {
        return exit_code::bad_input;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
            BOOST_LEAF_AUTO(found, config::text_store(*around_.store).fetch());
            if (!found) {
                out_ << "no text is in force; all of it would be new\n";
                return exit_code::ok;
            }
            out_ << "against revision " << found->head.revision << ":\n";
            print(out_, config::diff(found->text, *text));
            return exit_code::ok;
        },
        [&](config::store_fault fault) { return explain(fault); },
        [] { return exit_code::failed; });
}

exit_code control::apply(const request& asked) {
    std::string yaml;
    const auto text = read_text(asked.words[1], yaml);
    if (!text) {
        return exit_code::bad_input;
    }
    const std::uint64_t base = asked.base ? *asked.base : config::noted_revision(yaml).value_or(0);
    return leaf::try_handle_all(
        [&]() -> leaf::result<exit_code> {
            config::text_store store(*around_.store);
            BOOST_LEAF_AUTO(outcome, store.apply(*text, base, around_.draw_apply_id()));
            if (const auto* raced = std::get_if<config::apply_raced>(&outcome)) {
                err_ << "camphorctl: refused: revision " << raced->revision
                     << " is in force, the text was edited from " << base
                     << ". This text would change:\n";
                print(err_, raced->differences);
                return exit_code::raced;
            }
            std::uint64_t revision = 0;
            if (const auto* accepted = std::get_if<config::apply_accepted>(&outcome)) {
                revision = accepted->revision;
                out_ << "accepted as revision " << revision << ": " << accepted->chunks_written
                     << " chunks, " << accepted->bytes_written << " bytes"
                     << (accepted->superseded ? "; another has followed" : "") << '\n';
            } else {
                revision = std::get<config::apply_unchanged>(outcome).revision;
                out_ << "unchanged: revision " << revision << " says the same\n";
            }
            return asked.wait ? wait_for(revision, asked) : exit_code::ok;
        },
        [&](config::store_fault fault) { return explain(fault); },
        [] { return exit_code::failed; });
}

} // namespace camphorgrade::ctl
