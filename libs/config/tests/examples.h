#pragma once

#include <fstream>
#include <iterator>
#include <string>

/** The file `name` of the examples directory. */
inline std::string read_example(const std::string& name) {
    std::ifstream file(std::string(CAMPHOR_EXAMPLES) + "/" + name);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}
