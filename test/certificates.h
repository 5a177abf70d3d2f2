/// Generates keys and certificates for tests with TLS.
#pragma once

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include "oriolelever/streams.h"

namespace oriolelever {

/// A private key and the certificate of its public key.
struct Identity
{
    std::shared_ptr<EVP_PKEY> key;
    std::shared_ptr<X509> certificate;
};

/// Generates a key and a certificate signed by `authority`, or self-signed if `authority` is null. The
/// certificate is valid from an hour before now to an hour after now.
inline Identity makeIdentity(const std::string &name, const Identity *authority)
{
    constexpr long validSeconds = 3600;
    Identity identity{{EVP_EC_gen("P-256"), EVP_PKEY_free}, {X509_new(), X509_free}};
    auto *const certificate = identity.certificate.get();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), authority == nullptr ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), validSeconds);
    X509_set_pubkey(certificate, identity.key.get());
    auto *const subject = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    const auto &issuer = authority == nullptr ? identity : *authority;
    X509_set_issuer_name(certificate, X509_get_subject_name(issuer.certificate.get()));
    if (authority == nullptr) {
        auto *const extension
            = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }
    X509_sign(certificate, issuer.key.get(), EVP_sha256());
    return identity;
}

/// Writes the PEM files of one process into `directory` and returns options with their paths.
inline TlsOptions writeIdentity(const std::filesystem::path &directory, const Identity &identity,
                                const Identity &authority)
{
    const TlsOptions options{.certificate = directory / "certificate.pem",
                             .privateKey = directory / "key.pem",
                             .authority = directory / "authority.pem"};
    const auto write = [](const std::string &path, auto &&body) {
        std::FILE *const file = std::fopen(path.c_str(), "w");
        body(file);
        std::fclose(file);
    };
    write(options.certificate, [&](std::FILE *file) { PEM_write_X509(file, identity.certificate.get()); });
    write(options.authority, [&](std::FILE *file) { PEM_write_X509(file, authority.certificate.get()); });
    write(options.privateKey, [&](std::FILE *file) {
        PEM_write_PrivateKey(file, identity.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
    return options;
}

} // namespace oriolelever
