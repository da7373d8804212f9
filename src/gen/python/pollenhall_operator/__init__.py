__all__ = ['ttypes', 'constants', 'operator_service']
