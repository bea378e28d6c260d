#include "examples.h"

#include <config/diff.h>

#include <catch2/catch.hpp>

using namespace camphorgrade::config;

namespace {

operators_text with(std::string yaml, const std::string& from, const std::string& to) {
    const auto at = yaml.find(from);
    REQUIRE(at != std::string::npos);
    return std::get<operators_text>(parse_operators_text(yaml.replace(at, from.size(), to)));
}

} // namespace

TEST_CASE("a text does not differ from itself") {
    const auto text = with(read_example("hljodvangur.yaml"), "fo", "fo");
    CHECK(diff(text, text).empty());
}

TEST_CASE("differences name the part, the kind and the item") {
    const std::string yaml = read_example("hljodvangur.yaml");
    const auto old_text = with(yaml, "name: trial", "name: trial");
    using changes = std::vector<text_change>;
    CHECK(diff(old_text, with(yaml, "rate_tokens_per_s: 50", "rate_tokens_per_s: 60")) ==
          changes{{text_part::client_account, change_kind::changed, "trial"}});
    CHECK(diff(old_text, with(yaml, "name: trial", "name: visitors")) ==
          changes{{text_part::client_account, change_kind::removed, "trial"},
                  {text_part::client_account, change_kind::added, "visitors"}});
    CHECK(diff(old_text, with(yaml, "weigh: load_stalls", "weigh: fairness")) ==
          changes{{text_part::weigh, change_kind::changed, ""}});
    CHECK(diff(old_text, with(yaml, "default_version: v3", "default_version: v1")) ==
          changes{{text_part::adapter, change_kind::changed, "treatment-plan"}});
    CHECK(to_string(diff(old_text, with(yaml, "slots: 2", "slots: 4")).front()) ==
          "changed backend_server engine-1");
}
