#include <standins/expected_text.h>

#include <array>
#include <charconv>

#include <xxhash.h>

namespace camphorgrade::standins {

namespace {

constexpr std::size_t max_hex_digits = 16;
constexpr std::size_t hex_digits_per_token = 4;
constexpr int hex_base = 16;

} // namespace

std::string expected_token(const std::string& model, const std::string& prompt, std::size_t index) {
    const std::string seed = model + '\0' + prompt + '\0' + std::to_string(index);
    std::array<char, max_hex_digits> digits{};
    digits.fill('0');
    std::to_chars(digits.data(), digits.data() + digits.size(), XXH64(seed.data(), seed.size(), 0),
                  hex_base);
    return std::string(digits.data(), hex_digits_per_token) + " ";
}

std::string expected_text(const std::string& model, const std::string& prompt,
                          std::size_t max_tokens) {
    std::string text;
    for (std::size_t i = 0; i < max_tokens; ++i) {
        text += expected_token(model, prompt, i);
    }
    return text;
}

} // namespace camphorgrade::standins
