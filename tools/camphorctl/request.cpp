#include "request.h"

#include <boost/program_options.hpp>

#include <ostream>

namespace camphorgrade::ctl {
namespace {

namespace po = boost::program_options;

constexpr const char* usage = R"(usage: camphorctl COMMAND [OPTIONS]

commands:
  check FILE             list all faults of an operators' text
  show                   print the text in force; its first line notes its revision
  diff FILE              show what apply would change
  apply FILE             put a text in force on top of the revision that was edited
  status                 show which revision is in force in each process
  key give ACCOUNT       make a key for a client account and print it, once
  key list               list all keys by their ids
  key withdraw ID        withdraw a key for good

apply refuses a text when another one was applied since the edited revision (--base, or the
first line that show wrote), shows the difference, and merges nothing.
key withdraw tells the processes given by --operator too; it works through them while the
key-value service is out.

exit codes:
  0 done
  1 refused, such as an unknown key or account
  2 bad options, or a text with faults
  3 another apply came first; nothing was changed
  4 the key-value service did not answer; nothing was changed
  5 the key-value service did not answer; the change may have been made
  6 accepted, and not in force everywhere within the timeout

)";

po::options_description describe(request& out) {
    po::options_description described("options");
    auto add = described.add_options();
    add("store", po::value(&out.store_endpoints)->composing(),
        "ip:port of the key-value service; may be repeated");
    add("operator", po::value(&out.operators)->composing(),
        "ip:port of a daemon's operators' port; may be repeated");
    add("operator-token-file", po::value(&out.operator_token_file),
        "file with the credential for commands on the operators' ports");
    add("base", po::value<std::uint64_t>(), "revision that the text was edited from");
    add("wait", po::bool_switch(&out.wait), "apply: wait until it is in force at every --operator");
    add("timeout", po::value(&out.timeout_s)->default_value(out.timeout_s),
        "seconds that --wait waits");
    add("json", po::bool_switch(&out.json), "status: print JSON");
    add("help", "show this text");
    add("version", "show the version");
    return described;
}

} // namespace

std::variant<request, exit_code> parse_command_line(const std::vector<std::string>& arguments,
                                                    std::ostream& out, std::ostream& err) {
    request asked;
    const po::options_description described = describe(asked);
    po::options_description all;
    all.add(described).add_options()("words", po::value(&asked.words));
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map given;
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(positions).run(),
                  given);
        po::notify(given);
    } catch (const po::error& fault) {
        err << "camphorctl: " << fault.what() << '\n';
        return exit_code::bad_input;
    }
    if (given.count("help") != 0) {
        out << usage << described;
        return exit_code::ok;
    }
    if (given.count("version") != 0) {
        out << "camphorctl " << CAMPHOR_VERSION << '\n';
        return exit_code::ok;
    }
    if (given.count("base") != 0) {
        asked.base = given["base"].as<std::uint64_t>();
    }
    return asked;
}

} // namespace camphorgrade::ctl
