"""A deployment's own certificate authority and identities for tests."""

from datetime import datetime
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric.ec import (
    SECP256R1,
    EllipticCurvePrivateKey,
    generate_private_key,
)
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

from sesameford.settings import Tls

VALID_FROM, VALID_UNTIL = datetime(2026, 1, 1), datetime(2126, 1, 1)


class Authority:
    """A certificate authority that writes its identities below a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder / name
        self.folder.mkdir()
        self.key = generate_private_key(SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(self.name, self.key, True, [])
        self.file = self.folder / "authority.pem"
        self.file.write_bytes(certificate.public_bytes(Encoding.PEM))

    def identity(self, instance_id: str) -> Tls:
        key = generate_private_key(SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, instance_id)])
        names = [x509.DNSName(instance_id), x509.IPAddress(ip_address("127.0.0.1"))]
        certificate = self._sign(name, key, False, names)
        files = [self.folder / f"{instance_id}.{kind}.pem" for kind in ("crt", "key")]
        files[0].write_bytes(certificate.public_bytes(Encoding.PEM))
        plain = NoEncryption()
        files[1].write_bytes(
            key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, plain)
        )
        return Tls(str(self.file), str(files[0]), str(files[1]))

    def _sign(
        self, name: x509.Name, key: EllipticCurvePrivateKey, is_authority: bool, names
    ) -> x509.Certificate:
        builder = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(VALID_FROM)
            .not_valid_after(VALID_UNTIL)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        if names:
            alternative = x509.SubjectAlternativeName(names)
            builder = builder.add_extension(alternative, critical=False)
        return builder.sign(self.key, SHA256())
