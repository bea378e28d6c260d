#include "catalogue_command.h"

#include <config/packed_text.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>

namespace camphorgrade::experiment {

namespace {

using namespace config;
namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr std::size_t models = 3;
constexpr std::size_t servers = 840;
constexpr std::size_t accounts = 200;
constexpr std::size_t lookups = 100'000;

std::string numbered(const std::string& stem, std::size_t number) {
    return stem + std::to_string(number);
}

std::vector<adapter_spec> make_adapters(std::size_t count) {
    std::vector<adapter_spec> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({numbered("tenant-adapter-", i),
                       numbered("base-model-", i % models),
                       {"v1", "v2"},
                       "v2"});
    }
    return all;
}

operators_statement make_statement() {
    operators_statement made;
    made.deployment = "catalogue";
    for (std::size_t i = 0; i < models; ++i) {
        made.models.push_back({numbered("base-model-", i)});
        service_spec service;
        service.name = numbered("assistant-", i);
        service.model = made.models.back().name;
        made.services.push_back(service);
    }
    for (std::size_t i = 0; i < accounts; ++i) {
        made.client_accounts.push_back({numbered("account-", i), 1000, 10'000});
    }
    for (std::size_t i = 0; i < servers; ++i) {
        backend_server_spec server;
        server.name = numbered("engine-", i);
        server.address =
            "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8000";
        server.model = made.models[i % models].name;
        server.slots = 8;
        server.data_centre = numbered("dc-", i % 7);
        made.backend_servers.push_back(server);
    }
    return made;
}

operators_text make_text(operators_statement statement, std::vector<adapter_spec> adapters) {
    return std::get<operators_text>(
        operators_text::create(std::move(statement), std::move(adapters)));
}

/** Milliseconds that `work` takes. */
template <typename F>
double timed(F work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> passed =
        std::chrono::steady_clock::now() - begin;
    return passed.count();
}

std::size_t bytes_in_use() {
    return ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
}

/** Chunks and bytes that a process which has `before` lacks of `after`, its head included. */
nlohmann::json difference(const packed_text& before, const packed_text& after) {
    std::size_t chunks = 0;
    std::size_t bytes = encode(after.head).size();
    for (const auto& [digest, chunk] : after.chunks) {
        if (!before.chunks.contains(digest)) {
            ++chunks;
            bytes += chunk.size();
        }
    }
    return {{"chunks", chunks}, {"bytes", bytes}};
}

void add_chunks(text_assembler& assembler, const packed_text& packed) {
    for (const chunk_digest& digest : assembler.missing(packed.head)) {
        assembler.add(packed.chunks.at(digest));
    }
}

/** What an edit costs a process that has the text from before it. */
nlohmann::json measure_edit(const packed_text& before, const operators_text& edited) {
    text_assembler assembler;
    add_chunks(assembler, before);
    const packed_text after = pack(edited, before.head.revision + 1, apply_id{"edit"});
    nlohmann::json result = difference(before, after);
    result["adopt_ms"] = timed([&] {
        add_chunks(assembler, after);
        static_cast<void>(assembler.assemble(after.head));
        assembler.keep_only(after.head);
    });
    return result;
}

nlohmann::json measure_edits(const packed_text& before, std::size_t count) {
    nlohmann::json edits;
    auto adapters = make_adapters(count);
    adapters[count / 2].default_version = "v1";
    edits["one_adapter"] = measure_edit(before, make_text(make_statement(), std::move(adapters)));
    operators_statement statement = make_statement();
    statement.client_accounts[accounts / 2].rate_tokens_per_s = 2000;
    edits["one_account"] =
        measure_edit(before, make_text(std::move(statement), make_adapters(count)));
    statement = make_statement();
    statement.backend_servers.erase(statement.backend_servers.begin() + servers / 2);
    edits["one_server_removed"] =
        measure_edit(before, make_text(std::move(statement), make_adapters(count)));
    return edits;
}

nlohmann::json measure(std::size_t count) {
    nlohmann::json result{{"adapters", count}};
    const std::string yaml = to_yaml(make_text(make_statement(), make_adapters(count)));
    result["yaml_bytes"] = yaml.size();
    std::optional<parse_result<operators_text>> parsed;
    result["parse_ms"] = timed([&] { parsed = parse_operators_text(yaml); });
    const auto& text = std::get<operators_text>(*parsed);
    packed_text packed;
    result["pack_ms"] = timed([&] { packed = pack(text, 1, apply_id{"first"}); });
    std::size_t total = 0;
    std::size_t largest = 0;
    for (const auto& [digest, chunk] : packed.chunks) {
        total += chunk.size();
        largest = std::max(largest, chunk.size());
    }
    result["chunks"] = packed.chunks.size();
    result["chunk_bytes"] = total;
    result["largest_chunk_bytes"] = largest;
    result["head_bytes"] = encode(packed.head).size();

    const std::size_t before = bytes_in_use();
    text_assembler assembler;
    std::optional<operators_text> adopted;
    result["adopt_all_ms"] = timed([&] {
        add_chunks(assembler, packed);
        adopted = std::get<operators_text>(assembler.assemble(packed.head));
    });
    const std::size_t held = bytes_in_use() - before;
    result["held_bytes"] = held;
    result["held_bytes_per_adapter"] = held / count;
    std::size_t found = 0;
    const double looked_up = timed([&] {
        for (std::size_t i = 0; i < lookups; ++i) {
            const auto name = numbered("tenant-adapter-", i * 7919 % count);
            found += adopted->resolve_adapter(name) ? 1 : 0;
        }
    });
    result["resolve_ns"] = looked_up * 1e6 / lookups;
    result["all_found"] = found == lookups;
    result["edits"] = measure_edits(packed, count);
    return result;
}

void print(const nlohmann::json& row) {
    std::printf("%7zu adapters: %9zu YAML bytes, parse %8.1f ms, pack %6.1f ms, %4zu chunks, "
                "%8zu bytes, largest %6zu, head %6zu, adopt all %7.1f ms, held %9zu bytes, "
                "resolve %5.0f ns\n",
                row["adapters"].get<std::size_t>(), row["yaml_bytes"].get<std::size_t>(),
                row["parse_ms"].get<double>(), row["pack_ms"].get<double>(),
                row["chunks"].get<std::size_t>(), row["chunk_bytes"].get<std::size_t>(),
                row["largest_chunk_bytes"].get<std::size_t>(), row["head_bytes"].get<std::size_t>(),
                row["adopt_all_ms"].get<double>(), row["held_bytes"].get<std::size_t>(),
                row["resolve_ns"].get<double>());
    for (const auto& [name, edit] : row["edits"].items()) {
        std::printf("        %-20s %3zu chunks, %7zu bytes with head, adopt %6.1f ms\n",
                    name.c_str(), edit["chunks"].get<std::size_t>(),
                    edit["bytes"].get<std::size_t>(), edit["adopt_ms"].get<double>());
    }
}

int run(const std::vector<std::string>& arguments) {
    options::options_description described("catalogue");
    described.add_options()("adapters",
                            options::value<std::vector<std::size_t>>()->multitoken()->default_value(
                                {1'000, 10'000, 50'000, 130'000}, "1000 10000 50000 130000"),
                            "sizes of the catalogue");
    described.add_options()("json", "print JSON");
    described.add_options()("help", "print this");
    options::variables_map given;
    try {
        options::store(options::command_line_parser(arguments).options(described).run(), given);
    } catch (const options::error& fault) {
        std::cerr << fault.what() << '\n' << described;
        return exit_usage;
    }
    if (given.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    nlohmann::json all = nlohmann::json::array();
    bool good = true;
    for (const std::size_t count : given["adapters"].as<std::vector<std::size_t>>()) {
        if (count == 0) {
            return exit_usage;
        }
        all.push_back(measure(count));
        good = good && all.back()["all_found"].get<bool>();
        if (given.count("json") == 0) {
            print(all.back());
        }
    }
    if (given.count("json") != 0) {
        std::cout << all.dump(2) << '\n';
    }
    return good ? 0 : exit_failed;
}

} // namespace

const command catalogue_command{"catalogue", "time, bytes and memory of very large texts", run};

} // namespace camphorgrade::experiment
