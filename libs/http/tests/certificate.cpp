#include "certificate.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

namespace camphorgrade::testing {

namespace {

constexpr long validity_s = 3600;
constexpr long version_3 = 2;

void add_extension(X509* certificate, int kind, const char* value) {
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

} // namespace

certificate_file::certificate_file() {
    std::array<char, 32> name{"/tmp/camphor-tls-XXXXXX"};
    const int descriptor = ::mkstemp(name.data());
    if (descriptor < 0) {
        throw std::runtime_error("cannot make a file");
    }
    ::close(descriptor);
    path_ = name.data();
    renew();
}

certificate_file::~certificate_file() {
    std::remove(path_.c_str());
}

void certificate_file::renew() const {
    EVP_PKEY* const key = EVP_EC_gen("P-256");
    X509* const certificate = X509_new();
    X509_set_version(certificate, version_3);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -validity_s);
    X509_gmtime_adj(X509_getm_notAfter(certificate), validity_s);
    X509_set_pubkey(certificate, key);
    add_extension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
    add_extension(certificate, NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(certificate, key, EVP_sha256());
    std::FILE* const file = std::fopen(path_.c_str(), "w");
    PEM_write_X509(file, certificate);
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

void certificate_file::spoil() const {
    std::FILE* const file = std::fopen(path_.c_str(), "w");
    std::fputs("no certificate\n", file);
    std::fclose(file);
}

} // namespace camphorgrade::testing
