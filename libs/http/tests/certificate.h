#pragma once

#include <string>

namespace camphorgrade::testing {

/** A file with a fresh, self-signed certificate for 127.0.0.1 and its key; removed at the end. */
class certificate_file {
public:
    certificate_file();
    ~certificate_file();
    certificate_file(const certificate_file&) = delete;
    certificate_file& operator=(const certificate_file&) = delete;

    const std::string& path() const { return path_; }

    /** Puts a new certificate, or bytes that are none, in place of the old one. */
    void renew() const;
    void spoil() const;

private:
    std::string path_;
};

} // namespace camphorgrade::testing
