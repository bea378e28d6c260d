#include "examples.h"
#include "generators.h"

#include <config/packed_text.h>

#include <wire/config.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace camphorgrade::config;

namespace {

/** Protobuf field 15, which no message has. */
const std::string unknown_field("\x78\x01", 2);

/** Adapters enough for many chunks. */
std::vector<adapter_spec> many_adapters(std::size_t count) {
    std::vector<adapter_spec> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({"adapter-" + std::to_string(i), "base", {"v1", "v2"}, "v1"});
    }
    return all;
}

operators_text text_with(std::vector<adapter_spec> adapters) {
    operators_statement statement;
    statement.deployment = "d";
    statement.models = {{"base"}};
    return std::get<operators_text>(
        operators_text::create(std::move(statement), std::move(adapters)));
}

std::variant<operators_text, assembly_fault> unpack(const packed_text& packed) {
    text_assembler assembler;
    for (const chunk_digest& digest : assembler.missing(packed.head)) {
        assembler.add(packed.chunks.at(digest));
    }
    return assembler.assemble(packed.head);
}

std::size_t changed_chunks(const packed_text& from, const packed_text& to) {
    return static_cast<std::size_t>(
        std::count_if(to.chunks.begin(), to.chunks.end(),
                      [&](const auto& each) { return !from.chunks.contains(each.first); }));
}

} // namespace

TEST_CASE("texts survive YAML and chunks") {
    rc::prop("parsing canonical YAML gives the text back", [] {
        const operators_text text = generate::text();
        const auto again = parse_operators_text(to_yaml(text));
        RC_ASSERT(std::holds_alternative<operators_text>(again));
        RC_ASSERT(std::get<operators_text>(again) == text);
    });
    rc::prop("assembling the chunks gives the text back", [] {
        const operators_text text = generate::text();
        const auto again = unpack(pack(text, 7, apply_id{"a"}));
        RC_ASSERT(std::holds_alternative<operators_text>(again));
        RC_ASSERT(std::get<operators_text>(again) == text);
    });
}

TEST_CASE("chunks are small and an edit changes few of them") {
    const auto adapters = many_adapters(5000);
    const packed_text before = pack(text_with(adapters), 1, apply_id{"a"});
    CHECK(before.chunks.size() > 8);
    for (const auto& [digest, bytes] : before.chunks) {
        CHECK(bytes.size() <= max_chunk_bytes);
        CHECK(digest_of(bytes) == digest);
    }
    rc::prop("one adapter edited, removed or added", [&] {
        auto edited = adapters;
        const auto at = *rc::gen::inRange<std::size_t>(0, edited.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            edited[at].default_version = "v2";
            break;
        case 1:
            edited.erase(edited.begin() + static_cast<std::ptrdiff_t>(at));
            break;
        default:
            edited.push_back({"new-" + std::to_string(at), "base", {"v1"}, "v1"});
        }
        const packed_text after = pack(text_with(edited), 2, apply_id{"b"});
        RC_ASSERT(changed_chunks(before, after) <= 2U);
    });
}

TEST_CASE("a large catalogue finds each of its adapters") {
    const auto adapters = many_adapters(3000);
    const operators_text text = text_with(adapters);
    CHECK(text.adapters().size() == adapters.size());
    for (const adapter_spec& each : adapters) {
        REQUIRE(text.find_adapter(each.name) == each);
    }
    CHECK_FALSE(text.find_adapter("adapter-3000"));
    CHECK_FALSE(text.find_adapter("zzz"));
    CHECK_FALSE(text.find_adapter("a"));
}

TEST_CASE("heads survive a round trip and anything else is refused") {
    const config_head head = pack(text_with(many_adapters(10)), 9, apply_id{"x"}).head;
    CHECK(std::get<config_head>(decode_head(encode(head))) == head);
    config_head newer = head;
    newer.format = text_format + 1;
    CHECK(std::get<assembly_fault>(decode_head(encode(newer))) == assembly_fault::newer_format);
    CHECK(std::get<assembly_fault>(decode_head(encode(head) + unknown_field)) ==
          assembly_fault::newer_format);
    CHECK(std::get<assembly_fault>(decode_head("")) == assembly_fault::malformed_head);
    rc::prop("garbage never decodes to a head that encodes otherwise", [](const std::string& text) {
        const auto decoded = decode_head(text);
        if (const auto* accepted = std::get_if<config_head>(&decoded)) {
            RC_ASSERT(std::get<config_head>(decode_head(encode(*accepted))) == *accepted);
        }
    });
}

TEST_CASE("a text of a newer build is told apart from a broken one") {
    packed_text packed = pack(text_with(many_adapters(10)), 9, apply_id{"x"});
    const auto with_statement = [&](const std::string& piece) {
        packed_text changed = packed;
        changed.head.statement_chunks = {digest_of(piece)};
        changed.chunks.emplace(digest_of(piece), piece);
        return std::get<assembly_fault>(unpack(changed));
    };
    const std::string piece = packed.chunks.at(packed.head.statement_chunks.front());
    camphorgrade::wire::statement_part edited;
    REQUIRE(edited.ParseFromString(piece));
    CHECK(with_statement(piece + unknown_field) == assembly_fault::newer_format);
    edited.mutable_deployment()->set_weigh(99);
    CHECK(with_statement(edited.SerializeAsString()) == assembly_fault::newer_format);
    edited.mutable_deployment()->set_weigh(0);
    edited.clear_models();
    CHECK(with_statement(edited.SerializeAsString()) == assembly_fault::inconsistent);
    edited.add_backend_servers()->MergeFromString(unknown_field);
    CHECK(with_statement(edited.SerializeAsString()) == assembly_fault::newer_format);
    CHECK(with_statement("garbage") == assembly_fault::malformed_chunk);
    REQUIRE(edited.ParseFromString(piece));
    edited.add_client_accounts()->set_name("no-rate");
    CHECK(with_statement(edited.SerializeAsString()) == assembly_fault::malformed_chunk);
    std::swap(packed.head.adapter_chunks, packed.head.statement_chunks);
    CHECK(std::get<assembly_fault>(unpack(packed)) == assembly_fault::malformed_chunk);
}

TEST_CASE("the parser takes any input") {
    rc::prop("random text never throws and is not accepted", [](const std::string& text) {
        RC_ASSERT(std::holds_alternative<std::vector<config_fault>>(parse_operators_text(text)));
    });
    const std::string example = read_example("hljodvangur.yaml");
    rc::prop("a damaged example is parsed or refused with places", [&] {
        std::string yaml = example;
        const auto damage = *rc::gen::inRange(1, 5);
        for (int i = 0; i < damage; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, yaml.size());
            const auto drop = *rc::gen::inRange<std::size_t>(0, 3);
            yaml.replace(at, drop, 1,
                         *rc::gen::element(' ', '\n', '{', '}', '[', ':', '-', '"', '&', '*', '!',
                                           '|', '0', 'x', '\t'));
        }
        const auto parsed = parse_operators_text(yaml);
        if (const auto* faults = std::get_if<std::vector<config_fault>>(&parsed)) {
            RC_ASSERT(!faults->empty());
        } else {
            const auto& text = std::get<operators_text>(parsed);
            RC_ASSERT(std::get<operators_text>(parse_operators_text(to_yaml(text))) == text);
        }
    });
    rc::prop("an unknown field anywhere is a fault", [&] {
        const auto lines = *rc::gen::inRange<int>(0, 60);
        std::string yaml = example;
        std::size_t at = 0;
        for (int i = 0; i < lines && at != std::string::npos; ++i) {
            at = yaml.find(": ", at + 1);
        }
        RC_PRE(at != std::string::npos && at > 0U);
        yaml.insert(at, "x");
        RC_ASSERT(std::holds_alternative<std::vector<config_fault>>(parse_operators_text(yaml)));
    });
}
